/**
 * What keeps a leader that was cut off from being obeyed.
 */

/** The term of a leader and the number of the configuration it goes by. */
export interface Fence {
  readonly term: number
  readonly configuration: number
}

/**
 * @param seen - the highest term and configuration that a receiver of commands has seen
 * @param command - the term and configuration that a command carries
 * @returns whether the command may be obeyed
 */
export function passesFence (seen: Fence, command: Fence): boolean {
  return command.term >= seen.term && command.configuration >= seen.configuration
}
