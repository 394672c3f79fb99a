/**
 * Fencing: commands of a deposed leader that was partitioned away are rejected by their receivers.
 */

/** Fencing token of a command: the term of the leader and the number of its configuration. */
export interface Fence {
  readonly term: number
  readonly configuration: number
}

/**
 * @param seen - the highest term and configuration that the receiver has seen
 * @param command - the term and configuration of the command
 * @returns whether the receiver may execute the command
 */
export function passesFence (seen: Fence, command: Fence): boolean {
  return command.term >= seen.term && command.configuration >= seen.configuration
}
