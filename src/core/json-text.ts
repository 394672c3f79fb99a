/** JSON as people send it: the same field twice in one object is an error, because nobody can tell which one was meant. */
import { visit } from 'jsonc-parser/lib/esm/main.js'
import { err, ok, type Result } from 'neverthrow'
import type { Problem } from './verdict'

/** A field that would change the object itself. */
const PROTOTYPE = '__proto__'

/**
 * Parses a text.
 * @param text - the text
 * @returns the value, or the place that is not JSON or stands twice
 */
export function parseJson (text: string): Result<unknown, Problem[]> {
  try {
    const value: unknown = JSON.parse(text)
    const problems = repeatedFields(text)
    return problems.length > 0 ? err(problems) : ok(value)
  } catch {
    return err([{ path: '', value: 'the body', expected: 'JSON' }])
  }
}

function repeatedFields (text: string): Problem[] {
  const problems: Problem[] = []
  const open: Array<Set<string>> = []
  visit(text, {
    onObjectBegin: () => { open.push(new Set()) },
    onObjectEnd: () => { open.pop() },
    onObjectProperty: (name, _offset, _length, _line, _character, pathOf) => {
      if (name === PROTOTYPE) problems.push({ path: '', value: 'the body', expected: 'JSON' })
      const fields = open.at(-1)
      if (fields?.has(name) === true) problems.push({ path: ['', ...pathOf(), name].join('/'), value: 'a second field', expected: 'each field once' })
      fields?.add(name)
    }
  })
  return problems
}
