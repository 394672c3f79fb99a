import fc from 'fast-check'
import { expect, test } from 'vitest'
import {
  apply, checkPut, ConfigurationCopy, decodeState, documentDigest, encodeState, initialState, Section, sections, stateDigest, storedAnswer, UpdateOutcome,
  type CopyUpdate, type Document, type PutAnswer, type PutRequest, type State, type Transaction
} from '../src/core/index'

// Simulates writers, control hosts, and processes that hold a copy of the document. Messages are lost, duplicated and
// delayed, leaders change, and hosts restart from snapshots. The failures guarded against: a change applied twice or over
// a newer one, different answers to resends, diverging hosts, and a copy that goes back or mixes two documents.
const HOSTS = 3
const PROCESSES = 3
const VALID_MILLISECONDS = 1_000

interface Host { state: State, applied: number }
interface Stream { readonly leader: number, readonly term: number, readonly queue: CopyUpdate[] }

class Simulation {
  readonly log: Transaction[] = []
  readonly hosts: Host[] = Array.from({ length: HOSTS }, () => ({ state: initialState, applied: 0 }))
  /** Entries that the leader has proposed but not committed. */
  proposed: Transaction[] = []
  proposedState: State = initialState
  leader = 0
  term = 1
  now = 1
  readonly sent: PutRequest[] = []
  readonly answers = new Map<string, PutAnswer[]>()
  readonly accepted = new Map<number, string>()
  readonly copies = Array.from({ length: PROCESSES }, () => ConfigurationCopy.create())
  readonly streams: Stream[][] = Array.from({ length: PROCESSES }, () => [])
  readonly seen: number[] = Array.from({ length: PROCESSES }, () => 0)

  catchUp (host: Host): void {
    while (host.applied < this.log.length) host.state = apply(host.state, this.log[host.applied++]!).state
  }

  write (section: Section.Limits | Section.Placement, value: number, staleness: number, late: boolean): void {
    const content = section === Section.Limits ? { attemptsPerJob: value } : { completionTimeWeight: value / 100 }
    const number = Math.max(0, ((late ? this.committed() : this.proposedState).configuration.sectionNumbers.get(section) ?? 0) - staleness)
    this.send({ team: 'all', requestIdentifier: `put-${this.sent.length}`, read: [{ section, number }], sectionsJson: JSON.stringify({ [section]: content }) }, late)
  }

  /** With late, the request is checked against the committed state, without the entries proposed since. */
  send (request: PutRequest, late = false): void {
    if (!this.sent.includes(request)) this.sent.push(request)
    const known = storedAnswer(this.proposedState.configuration, 'all', request.requestIdentifier)
    const checked = checkPut(late ? this.committed() : this.proposedState, request)
    if (known !== undefined && !late) expect(checked._unsafeUnwrap().answered).toEqual(known)
    if (checked.isErr()) return
    const transaction = { ...checked.value.transaction, at: this.now }
    const applied = apply(this.proposedState, transaction)
    if (known !== undefined) expect([applied.outcome.isOk(), applied.state.configuration.number]).toEqual([true, this.proposedState.configuration.number])
    if (applied.outcome.isErr()) return
    this.proposedState = applied.state
    this.proposed.push(transaction)
  }

  /** Commits the first proposed entries and answers their writers, unless the answer is lost. */
  commit (count: number, answerLost: boolean): void {
    for (const transaction of this.proposed.splice(0, count)) {
      const before = this.committed()
      this.log.push(transaction)
      const after = this.committed()
      if (transaction.kind !== 'put-configuration') continue
      const identifier = transaction.requestIdentifier
      if (after.configuration.number !== before.configuration.number) {
        expect(this.accepted.has(after.configuration.number)).toBe(false)
        for (const { section, number } of transaction.read) expect(before.configuration.sectionNumbers.get(section as Section) ?? 0).toBe(number)
        this.accepted.set(after.configuration.number, identifier)
        this.push(after, JSON.parse(transaction.sectionsJson) as Partial<Document>)
      }
      const answer = storedAnswer(after.configuration, 'all', identifier)!
      if (!answerLost) this.answers.set(identifier, [...this.answers.get(identifier) ?? [], answer])
    }
  }

  committed (): State {
    const host = this.hosts[this.leader]!
    this.catchUp(host)
    return host.state
  }

  update (state: State, changes: Partial<Document> | undefined): CopyUpdate {
    const { number, sectionNumbers, document } = state.configuration
    return {
      term: this.term,
      number,
      sections: sections.map((section) => ({ section, number: sectionNumbers.get(section) ?? 0 })),
      sectionsJson: JSON.stringify(changes === undefined ? document : Object.fromEntries(Object.keys(changes).map((section) => [section, document[section as Section]]))),
      whole: changes === undefined,
      validMilliseconds: VALID_MILLISECONDS
    }
  }

  push (state: State, changes: Partial<Document>): void {
    for (const streams of this.streams) for (const stream of streams) if (stream.term === this.term) stream.queue.push(this.update(state, changes))
  }

  openStream (process: number): void {
    this.streams[process]!.push({ leader: this.leader, term: this.term, queue: [this.update(this.committed(), undefined)] })
  }

  /** Delivers or loses the next message of a stream, which may be the stream of a former leader. Streams keep their order. */
  deliver (process: number, which: number, lose: boolean): void {
    const streams = this.streams[process]!
    const stream = streams[which % Math.max(1, streams.length)]
    const update = stream?.queue.shift()
    if (update === undefined) return
    const copy = this.copies[process]!
    if (!lose) this.take(process, copy, update)
  }

  take (process: number, copy: ConfigurationCopy, update: CopyUpdate): void {
    const outcome = copy.applyUpdate(update, this.now)
    expect(copy.number).toBeGreaterThanOrEqual(this.seen[process]!)
    this.seen[process] = copy.number
    if (outcome === UpdateOutcome.InForce) expect(documentDigest(copy.document)).toBe(this.digestAt(copy.number))
    if (outcome === UpdateOutcome.Incomplete) this.openStream(process)
  }

  digestAt (number: number): string {
    let state = initialState
    for (const transaction of this.log) {
      if (state.configuration.number === number) break
      state = apply(state, transaction).state
    }
    return documentDigest(state.configuration.document)
  }

  /** Loses proposed entries that are not committed; the next leader has all committed ones. */
  changeLeader (next: number): void {
    this.leader = next % HOSTS
    this.term++
    this.proposed = []
    this.proposedState = this.committed()
  }

  restart (which: number): void {
    const host = this.hosts[which % HOSTS]!
    host.state = decodeState(encodeState(host.state))
  }
}

type Step = (world: Simulation) => void

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.tuple(fc.constantFrom<Array<Section.Limits | Section.Placement>>(Section.Limits, Section.Placement), fc.integer({ min: 1, max: 100 }), fc.constantFrom(0, 0, 0, 1), fc.boolean()).map(([section, value, staleness, late]): Step => (world) => { world.write(section, value, staleness, late) }) },
  { weight: 4, arbitrary: fc.tuple(fc.nat(50), fc.boolean()).map(([which, late]): Step => (world) => { const request = world.sent.at(-1 - which % Math.max(1, world.sent.length)); if (request !== undefined) world.send(request, late) }) },
  { weight: 5, arbitrary: fc.tuple(fc.integer({ min: 1, max: 4 }), fc.boolean()).map(([count, lost]): Step => (world) => { world.commit(count, lost) }) },
  { weight: 1, arbitrary: fc.nat(2).map((next): Step => (world) => { world.changeLeader(next) }) },
  { weight: 1, arbitrary: fc.nat(2).map((which): Step => (world) => { world.restart(which) }) },
  { weight: 2, arbitrary: fc.nat(2).map((process): Step => (world) => { world.openStream(process) }) },
  { weight: 10, arbitrary: fc.tuple(fc.nat(2), fc.nat(5), fc.integer({ min: 0, max: 4 })).map(([process, which, luck]): Step => (world) => { world.deliver(process, which, luck === 0) }) }
)

test('document numbers stay sequential, answers stable and copies correct under any interleaving of writes, resends, lost answers, leader changes and restarts', () => {
  fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 160 }), (steps) => {
    const world = new Simulation()
    for (const act of steps) { world.now++; act(world) }
    const final = world.committed()
    const numbers = [...world.accepted.keys()].sort((one, other) => one - other)
    expect(numbers).toEqual(Array.from({ length: final.configuration.number }, (_, position) => position + 1))
    expect(new Set(world.accepted.values()).size).toBe(world.accepted.size)
    for (const [identifier, answers] of world.answers) {
      expect(new Set(answers.map((answer) => JSON.stringify(answer))).size).toBe(1)
      expect(world.accepted.get(answers[0]!.number)).toBe(identifier)
    }
    for (const host of world.hosts) {
      world.catchUp(host)
      expect(stateDigest(host.state)).toBe(stateDigest(final))
    }
    for (const [process, copy] of world.copies.entries()) {
      world.openStream(process)
      world.take(process, copy, world.streams[process]!.at(-1)!.queue[0]!)
      expect([copy.number, documentDigest(copy.document)]).toEqual([final.configuration.number, documentDigest(final.configuration.document)])
    }
  }), { seed: 3, numRuns: 250 })
})

test('a copy is unconfirmed before its first update and after its validity, and rejects outdated updates', () => {
  const copy = ConfigurationCopy.create()
  const update: CopyUpdate = { term: 2, number: 3, sections: [], sectionsJson: '{}', whole: true, validMilliseconds: VALID_MILLISECONDS }
  expect([copy.isConfirmed(0), copy.applyUpdate({ ...update, whole: false, sectionsJson: '' }, 0), copy.isConfirmed(0)]).toEqual([false, UpdateOutcome.Incomplete, false])
  expect([copy.applyUpdate(update, 0), copy.isConfirmed(VALID_MILLISECONDS - 1), copy.isConfirmed(VALID_MILLISECONDS)]).toEqual([UpdateOutcome.InForce, true, false])
  expect(copy.applyUpdate({ ...update, term: 1, number: 4 }, 10)).toBe(UpdateOutcome.Stale)
  expect(copy.applyUpdate({ ...update, number: 2 }, 10)).toBe(UpdateOutcome.Stale)
  expect([copy.number, copy.term, copy.isConfirmed(VALID_MILLISECONDS)]).toEqual([3, 2, false])
})
