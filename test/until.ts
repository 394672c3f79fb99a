/** Polls until a value is returned that is neither undefined nor false. There is no limit but the time-out of the test. */
export async function until<Value> (poll: () => Value | undefined | false | Promise<Value | undefined | false>): Promise<Value> {
  for (;;) {
    const value = await poll()
    if (value !== undefined && value !== false) return value
    await new Promise((resolve) => { setTimeout(resolve, 2) })
  }
}
