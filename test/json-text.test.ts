import { expect, test } from 'vitest'
import { parseJson } from '../src/core/json-text'

test('a duplicate field is reported with its path', () => {
  expect(parseJson('{"a":[{"b":1,"c":{"b":2},"b":3}]}')._unsafeUnwrapErr()).toEqual([{ path: '/a/0/b', value: 'a second field', expected: 'each field once' }])
  expect(parseJson('{"a":{"b":1},"c":{"b":1}}')._unsafeUnwrap()).toEqual({ a: { b: 1 }, c: { b: 1 } })
  expect(parseJson('{"a":').isErr()).toBe(true)
})
