import type { Problem } from '../core/verdict'

/**
 * Puts problems into lines for a person.
 * @param problems - the problems
 * @returns one line for each
 */
export function problemLines (problems: readonly Problem[]): string[] {
  return problems.map(({ path, value, expected }) => `${path || '/'}: found ${value}, expected ${expected}`)
}
