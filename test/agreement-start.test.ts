/**
 * Elections after a start. When all members restart, waiting out a full election timeout would delay the first leader;
 * when one member restarts, its short first election timeout must not depose a working leader.
 */
import { expect, test } from 'vitest'
import {
  defaultAgreementTiming, foundingEntry, InputKind, isReadyLeader, startAgreement, stepAgreement, type AgreementState, type Input, type AgreementMessage
} from '../src/core/agreement'

const CLUSTER = 'cluster'
const LATENCY_MILLISECONDS = 3
/** Three round trips, for pre-votes, votes and the leader's first entry, and a margin of 12 ms. */
const ELECTION_ROUNDS_MILLISECONDS = 3 * 2 * LATENCY_MILLISECONDS + 12
const SEEDS = Array.from({ length: 40 }, (_, seed) => seed * 977 + 1)

/** Members whose writes are synced at once, on a network that delivers every message with the same latency. */
class Members {
  now = 1_000
  private readonly states = new Map<string, AgreementState>()
  private inFlight: Array<{ readonly at: number, readonly message: AgreementMessage }> = []

  constructor (private readonly names: readonly string[], private readonly seed: number) {
    names.forEach((name) => { this.restart(name) })
  }

  restart (name: string): void {
    const members = this.names.map((identity) => ({ identity, address: identity, voter: true }))
    const recovered = { identity: name, hardState: { cluster: CLUSTER, term: 1, vote: '' }, snapshot: { index: 0, term: 0, members: [] }, entries: [foundingEntry(members)] }
    this.states.set(name, startAgreement(recovered, defaultAgreementTiming, this.seed + this.names.indexOf(name) * 7_919, this.now))
  }

  get leader (): AgreementState | undefined {
    return [...this.states.values()].find(isReadyLeader)
  }

  runUntilLeader (milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end && this.leader === undefined;) this.step()
  }

  runFor (milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end;) this.step()
  }

  private step (): void {
    this.now += 1
    const due = this.inFlight.filter(({ at }) => at <= this.now)
    this.inFlight = this.inFlight.filter(({ at }) => at > this.now)
    for (const { message } of due) this.input(message.to, { kind: InputKind.Receive, message })
    for (const name of this.names) {
      this.input(name, { kind: InputKind.Tick })
      this.input(name, { kind: InputKind.Flush })
    }
  }

  private input (name: string, input: Input): void {
    const before = this.states.get(name)
    if (before === undefined) return
    const { state, output } = stepAgreement(before, this.now, input)
    this.states.set(name, state)
    for (const message of [...output.messages, ...output.afterSync]) this.inFlight.push({ at: this.now + LATENCY_MILLISECONDS, message })
    const last = output.append.at(-1)
    if (last !== undefined) this.input(name, { kind: InputKind.Synced, index: last.index, term: last.term })
  }
}

test.each([3, 5, 7])('%i members that start together elect a leader within the first election timeout in the median', (count) => {
  const names = Array.from({ length: count }, (_, position) => `m${position}`)
  const times = SEEDS.map((seed) => {
    const members = new Members(names, seed)
    const began = members.now
    members.runUntilLeader(2_000)
    return members.now - began
  }).sort((one, other) => one - other)
  expect(times[times.length >> 1]).toBeLessThan(defaultAgreementTiming.maxFirstElectionMilliseconds + ELECTION_ROUNDS_MILLISECONDS)
})

test('a restarting member does not depose the leader', () => {
  for (const seed of SEEDS) {
    const members = new Members(['m0', 'm1', 'm2'], seed)
    members.runUntilLeader(2_000)
    const { identity, term } = members.leader!
    members.restart(['m0', 'm1', 'm2'].find((name) => name !== identity)!)
    members.runFor(1_500)
    expect(members.leader).toMatchObject({ identity, term })
  }
})
