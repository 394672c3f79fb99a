/** Strict JSON parsing: a duplicate field in an object is an error, because it is unclear which one was meant. */
import { visit } from 'jsonc-parser/lib/esm/main.js'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from './verdict'

/** Rejected, because assigning this field would change the prototype of an object. */
const PROTOTYPE_FIELD = '__proto__'

/**
 * Parses a JSON text.
 * @param text - the text
 * @returns the value, or a problem for invalid JSON or for each duplicate field
 */
export function parseJson (text: string): Result<unknown, Problem[]> {
  try {
    const value: unknown = JSON.parse(text)
    const problems = duplicateFields(text)
    return problems.length > 0 ? err(problems) : ok(value)
  } catch {
    return err([{ path: '', value: 'the body', expected: 'JSON' }])
  }
}

function duplicateFields (text: string): Problem[] {
  const problems: Problem[] = []
  const openObjects: Array<Set<string>> = []
  visit(text, {
    onObjectBegin: () => { openObjects.push(new Set()) },
    onObjectEnd: () => { openObjects.pop() },
    onObjectProperty: (name, _offset, _length, _line, _character, path) => {
      if (name === PROTOTYPE_FIELD) problems.push({ path: '', value: 'the body', expected: 'JSON' })
      const fields = openObjects.at(-1)
      if (fields?.has(name) === true) problems.push({ path: ['', ...path(), name].join('/'), value: 'a second field', expected: 'each field once' })
      fields?.add(name)
    }
  })
  return problems
}
