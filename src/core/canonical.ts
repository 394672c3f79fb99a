import { createHash } from 'node:crypto'

/**
 * Digest of a JSON value, independent of white space and the order of fields.
 * @param value - any JSON value
 * @returns SHA-256 in hexadecimal
 */
export function canonicalDigest (value: unknown): string {
  return createHash('sha256').update(JSON.stringify(withSortedKeys(value))).digest('hex')
}

function withSortedKeys (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withSortedKeys)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).sort(([one], [other]) => one < other ? -1 : 1).map(([key, entry]) => [key, withSortedKeys(entry)]))
}
