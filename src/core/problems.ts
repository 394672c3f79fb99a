import { Value, ValueErrorType, type ValueError } from '@sinclair/typebox/value'
import type { Static, TSchema } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from './verdict'

/** Longest shown part of a value, in characters. */
const SHOWN_CHARACTERS = 120
/** Most problems listed at once. */
const LISTED_PROBLEMS = 100

type Describe = (schema: TSchema) => string

const rangeOf = (schema: TSchema): string => [
  schema.minimum === undefined ? '' : ` from ${schema.minimum}`,
  schema.exclusiveMinimum === undefined ? '' : ` over ${schema.exclusiveMinimum}`,
  schema.maximum === undefined ? '' : ` up to ${schema.maximum}`
].join('')

const stringOf = (schema: TSchema): string => [
  schema.description ?? 'a string',
  schema.minLength === undefined ? '' : ` of at least ${schema.minLength} characters`,
  schema.maxLength === undefined ? '' : ` of at most ${schema.maxLength} characters`,
  schema.pattern === undefined ? '' : ` matching ${schema.pattern}`
].join('')

const arrayOf = (schema: TSchema): string => [
  'an array',
  schema.minItems === undefined ? '' : ` of at least ${schema.minItems} items`,
  schema.maxItems === undefined ? '' : ` of at most ${schema.maxItems} items`,
  schema.uniqueItems ? ' without repeats' : ''
].join('')

const descriptions: Record<string, Describe> = {
  integer: (schema) => `an integer${rangeOf(schema)}`,
  number: (schema) => `a number${rangeOf(schema)}`,
  string: stringOf,
  boolean: () => 'true or false',
  array: arrayOf,
  object: (schema) => `an object with the fields ${Object.keys(schema.properties ?? {}).join(', ')}`
}

function describe (schema: TSchema): string {
  if (Array.isArray(schema.anyOf)) return `one of ${schema.anyOf.map((choice: TSchema) => JSON.stringify(choice.const)).join(', ')}`
  return descriptions[schema.type]?.(schema) ?? 'another value'
}

const special: Partial<Record<ValueErrorType, Describe>> = {
  [ValueErrorType.ObjectAdditionalProperties]: (schema) =>
    `no such field; the fields are ${Object.keys(schema.properties).join(', ')}`,
  [ValueErrorType.ObjectRequiredProperty]: (schema) => `a required field: ${describe(schema)}`
}

/**
 * Shows a value in a problem, shortened.
 * @param value - any JSON value, undefined for a missing field
 * @returns the value as JSON, or "nothing"
 */
export function showValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}...` : text
}

function problemOf (error: ValueError): Problem {
  const describeSpecial = special[error.type] ?? describe
  return { path: error.path, value: showValue(error.value), expected: describeSpecial(error.schema) }
}

/**
 * Finds every place where a value does not fit a schema, one problem for each place.
 * @param schema - the TypeBox schema
 * @param value - any JSON value
 * @returns the problems, none where the value fits
 */
export function findProblems (schema: TSchema, value: unknown): Problem[] {
  const found = new Map<string, Problem>()
  for (const error of Value.Errors(schema, value)) {
    if (!found.has(error.path)) found.set(error.path, problemOf(error))
    if (found.size >= LISTED_PROBLEMS) break
  }
  return [...found.values()]
}

/**
 * Fills the defaults of a schema into a copy of a value, then checks it.
 * @param schema - the TypeBox schema
 * @param value - any JSON value; it is not changed
 * @returns the whole value, or all problems at once
 */
export function checkAgainst<Schema extends TSchema> (schema: Schema, value: unknown): Result<Static<Schema>, Problem[]> {
  const filled = Value.Default(schema, Value.Clone(value))
  if (Value.Check(schema, filled)) return ok(filled)
  return err(findProblems(schema, filled))
}
