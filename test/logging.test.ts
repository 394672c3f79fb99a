import { expect, test } from 'vitest'
import { LineBuffer, type LineSink } from '../src/logging'

/** A reader that takes a number of lines and then stands still until it is told to go on. */
class SlowReader implements LineSink {
  readonly lines: string[] = []
  private drained?: () => void
  constructor (private open: number) {}

  readonly write = (text: string): boolean => {
    this.lines.push(text)
    this.open -= 1
    return this.open > 0
  }

  readonly once = (_event: 'drain', listener: () => void): void => { this.drained = listener }

  goOn (lines: number): void {
    this.open = lines
    this.drained?.()
  }
}

test('a reader that stands still costs lines and no time; warnings are kept over others, and the loss is told', () => {
  const reader = new SlowReader(1)
  const buffer = LineBuffer.create(reader)
  const began = performance.now()
  for (let line = 0; line < 100_000; line++) buffer.add('info', `info ${line}\n`)
  for (let line = 0; line < 300; line++) buffer.add('warn', `warn ${line}\n`)
  expect(performance.now() - began).toBeLessThan(1_000)
  expect(reader.lines).toHaveLength(1)
  reader.goOn(1_000_000)
  expect(reader.lines).toHaveLength(1 + 1_500 + 300 + 1)
  expect(JSON.parse(reader.lines.at(-1) ?? '')).toMatchObject({ event: 'lines-dropped', counted: { info: 98_499 } })
})

test('lines keep their order through several stops of the reader', () => {
  const reader = new SlowReader(2)
  const buffer = LineBuffer.create(reader)
  for (let line = 0; line < 10; line++) buffer.add('info', String(line))
  reader.goOn(3)
  reader.goOn(100)
  buffer.add('info', '10')
  expect(reader.lines).toEqual(['0', '1', '2', '3', '4', '5', '6', '7', '8', '9', '10'])
})
