import { Value, ValueErrorType, type ValueError } from '@sinclair/typebox/value'
import type { Static, TSchema } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from './verdict'

/** Longer values are truncated in a problem. */
const MAX_SHOWN_CHARACTERS = 120
/** Maximum number of problems reported at once. */
const MAX_PROBLEMS = 100

type Describe = (schema: TSchema) => string

const describeRange = (schema: TSchema): string => [
  schema.minimum === undefined ? '' : ` from ${schema.minimum}`,
  schema.exclusiveMinimum === undefined ? '' : ` over ${schema.exclusiveMinimum}`,
  schema.maximum === undefined ? '' : ` up to ${schema.maximum}`
].join('')

const describeString = (schema: TSchema): string => [
  schema.description ?? 'a string',
  schema.minLength === undefined ? '' : ` of at least ${schema.minLength} characters`,
  schema.maxLength === undefined ? '' : ` of at most ${schema.maxLength} characters`,
  schema.pattern === undefined ? '' : ` matching ${schema.pattern}`
].join('')

const describeArray = (schema: TSchema): string => [
  'an array',
  schema.minItems === undefined ? '' : ` of at least ${schema.minItems} items`,
  schema.maxItems === undefined ? '' : ` of at most ${schema.maxItems} items`,
  schema.uniqueItems ? ' without repeats' : ''
].join('')

const describeByType: Record<string, Describe> = {
  integer: (schema) => `an integer${describeRange(schema)}`,
  number: (schema) => `a number${describeRange(schema)}`,
  string: describeString,
  boolean: () => 'true or false',
  array: describeArray,
  object: (schema) => `an object with the fields ${Object.keys(schema.properties ?? {}).join(', ')}`
}

function describe (schema: TSchema): string {
  if (Array.isArray(schema.anyOf)) return `one of ${schema.anyOf.map((choice: TSchema) => JSON.stringify(choice.const)).join(', ')}`
  return describeByType[schema.type]?.(schema) ?? 'another value'
}

const describeByError: Partial<Record<ValueErrorType, Describe>> = {
  [ValueErrorType.ObjectAdditionalProperties]: (schema) =>
    `no such field; the fields are ${Object.keys(schema.properties).join(', ')}`,
  [ValueErrorType.ObjectRequiredProperty]: (schema) => `a required field: ${describe(schema)}`
}

/**
 * Formats a value for a problem, truncated to 120 characters.
 * @param value - any JSON value, undefined for a missing field
 * @returns the value as JSON, or "nothing"
 */
export function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}...` : text
}

function toProblem (error: ValueError): Problem {
  const describeSpecial = describeByError[error.type] ?? describe
  return { path: error.path, value: formatValue(error.value), expected: describeSpecial(error.schema) }
}

/**
 * Validates a value against a schema. Reports one problem for each path.
 * @param schema - the TypeBox schema
 * @param value - any JSON value
 * @returns the problems; empty where the value is valid
 */
export function findProblems (schema: TSchema, value: unknown): Problem[] {
  const found = new Map<string, Problem>()
  for (const error of Value.Errors(schema, value)) {
    if (!found.has(error.path)) found.set(error.path, toProblem(error))
    if (found.size >= MAX_PROBLEMS) break
  }
  return [...found.values()]
}

/**
 * Fills in the defaults of a schema in a copy of a value, then validates it.
 * @param schema - the TypeBox schema
 * @param value - any JSON value; it is not modified
 * @returns the value with defaults, or all problems
 */
export function checkAgainst<Schema extends TSchema> (schema: Schema, value: unknown): Result<Static<Schema>, Problem[]> {
  const filled = Value.Default(schema, Value.Clone(value))
  if (Value.Check(schema, filled)) return ok(filled)
  return err(findProblems(schema, filled))
}
