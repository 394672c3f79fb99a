import { Value } from '@sinclair/typebox/value'
import { expect, test } from 'vitest'
import { documentSchema, emptyDocument } from '../src/core/index'

test('the empty document fits the schema', () => {
  expect(Value.Check(documentSchema, emptyDocument)).toBe(true)
})
