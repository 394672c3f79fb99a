import type { Problem } from '../core/verdict'

/**
 * Formats problems as readable text.
 * @param problems - the problems
 * @returns one line for each problem
 */
export function problemLines (problems: readonly Problem[]): string[] {
  return problems.map(({ path, value, expected }) => `${path || '/'}: found ${value}, expected ${expected}`)
}
