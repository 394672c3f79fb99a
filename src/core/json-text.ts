/** Strict JSON parsing: a duplicate field in an object is an error, because it is unclear which one was meant. */
import { visit } from 'jsonc-parser/lib/esm/main.js'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from './verdict'

/** Limit of nesting, which keeps recursive functions on parsed values from overflowing the stack. */
const MAX_DEPTH = 64
/** Rejected, because assigning this field would change the prototype of an object. */
const PROTOTYPE_FIELD = '__proto__'

/**
 * Parses a JSON text.
 * @param text - the text
 * @returns the value, or a problem for invalid JSON, for deep nesting or for each duplicate field
 */
export function parseJson (text: string): Result<unknown, Problem[]> {
  try {
    const value: unknown = JSON.parse(text)
    const problems = textProblems(text)
    return problems.length > 0 ? err(problems) : ok(value)
  } catch {
    return err([{ path: '', value: 'the body', expected: 'JSON' }])
  }
}

function textProblems (text: string): Problem[] {
  const problems: Problem[] = []
  const openObjects: Array<Set<string>> = []
  let depth = 0
  const enter = (): void => {
    depth += 1
    if (depth === MAX_DEPTH + 1) problems.push({ path: '', value: 'the body', expected: `at most ${MAX_DEPTH} levels of nesting` })
  }
  visit(text, {
    onArrayBegin: enter,
    onArrayEnd: () => { depth -= 1 },
    onObjectBegin: () => { enter(); openObjects.push(new Set()) },
    onObjectEnd: () => { depth -= 1; openObjects.pop() },
    onObjectProperty: (name, _offset, _length, _line, _character, path) => {
      if (name === PROTOTYPE_FIELD) problems.push({ path: '', value: 'the body', expected: 'JSON' })
      const fields = openObjects.at(-1)
      if (fields?.has(name) === true) problems.push({ path: ['', ...path(), name].join('/'), value: 'a second field', expected: 'each field once' })
      fields?.add(name)
    }
  })
  return problems
}
