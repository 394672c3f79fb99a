/** Waits until something is there; the test's own time limit ends a wait for what never comes. */
export async function until<Value> (look: () => Value | undefined | false | Promise<Value | undefined | false>): Promise<Value> {
  for (;;) {
    const value = await look()
    if (value !== undefined && value !== false) return value
    await new Promise((resolve) => { setTimeout(resolve, 2) })
  }
}
