import { expect, test } from 'vitest'
import { LineBuffer, type LineSink } from '../src/logging'

/** A sink that accepts a number of lines and then blocks until the test resumes it. */
class BlockingSink implements LineSink {
  readonly lines: string[] = []
  private drained?: () => void
  constructor (private capacity: number) {}

  readonly write = (text: string): boolean => {
    this.lines.push(text)
    this.capacity -= 1
    return this.capacity > 0
  }

  readonly once = (_event: 'drain', listener: () => void): void => { this.drained = listener }

  resume (lines: number): void {
    this.capacity = lines
    this.drained?.()
  }
}

test('while the sink is blocked lines are dropped without delaying the process; warnings are kept first, and the dropped lines are counted', () => {
  const sink = new BlockingSink(1)
  const buffer = LineBuffer.create(sink)
  const startedAt = performance.now()
  for (let line = 0; line < 100_000; line++) buffer.add('info', `info ${line}\n`)
  for (let line = 0; line < 300; line++) buffer.add('warn', `warn ${line}\n`)
  expect(performance.now() - startedAt).toBeLessThan(1_000)
  expect(sink.lines).toHaveLength(1)
  sink.resume(1_000_000)
  expect(sink.lines).toHaveLength(1 + 1_500 + 300 + 1)
  expect(JSON.parse(sink.lines.at(-1) ?? '')).toMatchObject({ event: 'lines-dropped', counted: { info: 98_499 } })
})

test('lines keep their order when the sink blocks several times', () => {
  const sink = new BlockingSink(2)
  const buffer = LineBuffer.create(sink)
  for (let line = 0; line < 10; line++) buffer.add('info', String(line))
  sink.resume(3)
  sink.resume(100)
  buffer.add('info', '10')
  expect(sink.lines).toEqual(['0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '10'])
})
