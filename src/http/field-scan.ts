/** Counts the values of a JSON text without creating any of them. */

/** Limits of the values of a JSON text. */
export interface FieldLimits {
  /** Fields and elements in total. */
  readonly maxValues: number
  /** Fields of one object, or elements of one array. */
  readonly maxMembers: number
  readonly maxDepth: number
}

const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const OPEN_BRACE = 0x7b
const CLOSE_BRACE = 0x7d
const OPEN_BRACKET = 0x5b
const CLOSE_BRACKET = 0x5d

/**
 * Checks whether a JSON text stays within limits. Text that is not JSON is left to the parser, which refuses it.
 * @param bytes - the text in UTF-8
 * @param limits - how many values there may be, and how deep
 * @returns what exceeds the limits, in words; undefined where nothing does
 */
export function excessOf (bytes: Uint8Array, limits: FieldLimits): string | undefined {
  const { maxValues, maxMembers, maxDepth } = limits
  /** Members of each open object and array so far. */
  const open: number[] = []
  let values = 0
  for (let at = 0; at < bytes.length; at++) {
    const byte = bytes[at]
    if (byte === QUOTE) at = endOfString(bytes, at)
    else if (byte === OPEN_BRACE || byte === OPEN_BRACKET) {
      values += 1
      open.push(1)
      if (open.length > maxDepth) return `at most ${maxDepth} levels of nesting`
    } else if (byte === CLOSE_BRACE || byte === CLOSE_BRACKET) open.pop()
    else if (byte === COMMA) {
      values += 1
      const last = open.length - 1
      const members = open[last] ?? 0
      if (members >= maxMembers) return `at most ${maxMembers} fields of an object or elements of an array`
      if (last >= 0) open[last] = members + 1
    }
    if (values > maxValues) return `at most ${maxValues} fields and elements`
  }
  return undefined
}

/** Position of the closing quote, or the end of the text. */
function endOfString (bytes: Uint8Array, start: number): number {
  let at = start + 1
  while (at < bytes.length && bytes[at] !== QUOTE) at += bytes[at] === BACKSLASH ? 2 : 1
  return at
}
