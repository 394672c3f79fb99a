import { describe, expect, test } from 'vitest'
import { apply, checkPut, consequenceLines, decodeState, encodeState, initialState, JobState, RefusalCode, RemovalRule, Section, storedAnswer, TransactionKind, type Refusal, type State } from '../src/core/index'
import { MAX_STORED_PUTS, PUT_RETENTION_MILLISECONDS } from '../src/core/configuration'
import { account, announce, check, declaredJob, fleet, play, put, request, shape, team } from './document-fixtures'

const base = put(fleet, { clientAccounts: [account('song-huong'), account('nacksgarden')], teams: [team('all', ...Object.values(Section)), team('sales', Section.ClientAccounts)] }, 'basis')

function refusal (state: State, changes: object, writer?: string): Refusal {
  return check(state, changes, 'wrong', writer)._unsafeUnwrapErr()
}

function running (state: State, job: string, worker = 'w1'): State {
  const member = { worker, incarnation: `${worker}-1`, mask: 15 }
  return play(state,
    { kind: TransactionKind.ReserveJob, at: 2, job, attempt: 1, members: [member], reason: 'fair-share' as never, borrowing: false },
    { kind: TransactionKind.StartJob, at: 3, job, attempt: 1 })
}

describe('a change is checked before it is proposed', () => {
  test('unknown fields, wrong types and values out of range are refused together, each with its path', () => {
    expect(refusal(base, { clientAccounts: [{ name: 'a', share: 0, colour: 'red' }], limits: { attemptsPerJob: 1_000 }, more: 1 })).toMatchSnapshot()
  })

  test('inconsistencies between sections are refused together', () => {
    const guarantees = [{ account: 'nobody', shape }, { account: 'song-huong', shape: { ...shape, accelerators: 8, workers: 2 }, count: 9 }]
    const jobs = [declaredJob('one', 'nobody'), declaredJob('one', 'song-huong'), { ...declaredJob('large', 'song-huong'), shape: { ...shape, workers: 2, within: 'worker' }, payload: { base64: '***' } }]
    const clientAccounts = [{ ...account('song-huong'), runningAccelerators: 3 }, { ...account('copy'), tokens: account('song-huong').tokens }]
    expect(refusal(base, { guarantees, jobs, clientAccounts, placement: { completionTimeWeight: 0, fragmentationWeight: 0 }, teams: [] })).toMatchSnapshot()
  })

  test('defaults are filled in before the document is stored', () => {
    const state = put(base, { limits: { attemptsPerJob: 7 }, clientAccounts: [{ name: 'song-huong', share: 2 }] })
    expect(state.configuration.document.limits).toEqual({ ...base.configuration.document.limits, attemptsPerJob: 7 })
    expect(state.configuration.document.clientAccounts).toMatchSnapshot()
  })

  test('a text that is not an object or too long, and a request without identifier, are refused', () => {
    const send = (sectionsJson: string, requestIdentifier = 'x') => checkPut(base, { team: 'all', requestIdentifier, read: [], sectionsJson })._unsafeUnwrapErr()
    expect([send('{'), send('[]'), send('{}'), send('{"limits":{}}', '')].map(({ code, problems }) => [code, problems?.[0]?.expected])).toMatchSnapshot()
    expect(send(`"${'x'.repeat(2_097_152)}"`).code).toBe(RefusalCode.TooLarge)
  })

  test('a team may write only its own sections', () => {
    expect(refusal(base, { limits: {}, clientAccounts: [] }, 'sales')).toMatchSnapshot()
    expect(check(base, { clientAccounts: [account('song-huong')] }, 'fine', 'sales').isOk()).toBe(true)
    expect(refusal(base, { limits: {} }, 'stranger').code).toBe(RefusalCode.Unauthorized)
    const forced = apply(base, { kind: TransactionKind.PutConfiguration, at: 2, ...request(base, { limits: {} }, 'forced', 'sales') })
    expect(forced.outcome._unsafeUnwrapErr().code).toBe(RefusalCode.Unauthorized)
  })

  test('the last team that may write the teams section cannot be removed', () => {
    expect(refusal(base, { teams: [team('sales', Section.ClientAccounts)] }).problems?.[0]?.path).toBe('/teams')
    expect(refusal(base, { teams: [] }).problems?.[0]?.path).toBe('/teams')
  })

  test('all guarantees must fit the announced fleet at once', () => {
    const three = (accelerators: number, count: number) => ({ guarantees: [{ account: 'song-huong', shape: { ...shape, workers: 3, accelerators }, count }, { account: 'nacksgarden', shape: { ...shape, accelerators: 8 } }] })
    expect(refusal(base, three(4, 1)).problems).toMatchSnapshot()
    expect(check(play(base, announce('w4')), three(4, 1)).isOk()).toBe(true)
  })

  test('maintenance may not displace a guarantee, but an unchanged guarantee is accepted after part of the fleet is lost', () => {
    const state = put(base, { guarantees: [{ account: 'song-huong', shape: { ...shape, workers: 3 } }] })
    expect(refusal(state, { maintenance: { workers: ['w1'] } }).problems?.[0]?.path).toBe('/maintenance')
    const smaller = play(state, { kind: TransactionKind.LeaveWorker, at: 2, worker: 'w1' })
    expect(check(smaller, { guarantees: state.configuration.document.guarantees, limits: {} })._unsafeUnwrap().consequences).toEqual([])
    expect(check(smaller, { guarantees: [] }).isOk()).toBe(true)
  })

  test('the content of a declared job cannot change, and it cannot take the identifier of a submitted job', () => {
    const state = put(base, { jobs: [declaredJob('plan', 'song-huong')] })
    expect(refusal(state, { jobs: [{ ...declaredJob('plan', 'song-huong'), declaredSeconds: 61 }] }).problems?.[0]?.path).toBe('/jobs/0/identifier')
    const { identifier: _, ...specification } = declaredJob('call', 'song-huong')
    const called = play(base, { kind: TransactionKind.AcceptJob, at: 2, identifier: 'call', specification })
    expect(refusal(called, { jobs: [declaredJob('call', 'song-huong')] }).problems?.[0]?.path).toBe('/jobs/0/identifier')
    const reordered = Object.fromEntries(Object.entries(declaredJob('plan', 'song-huong')).reverse())
    expect(check(state, { jobs: [reordered] })._unsafeUnwrap().consequences).toEqual([])
  })

  test('declared jobs beyond the queue limit are refused', () => {
    const jobs = Array.from({ length: 101 }, (_, position) => declaredJob(`job-${position}`, 'song-huong'))
    expect(refusal(base, { jobs }).problems?.[0]).toMatchSnapshot()
  })
})

describe('numbers and request identifiers', () => {
  test('of two writers that read the same section number one succeeds, and the other gets the numbers and differing paths', () => {
    const first = request(base, { clientAccounts: [{ ...account('song-huong'), share: 5 }] }, 'first')
    const second = request(base, { clientAccounts: [{ ...account('song-huong'), share: 6 }] }, 'second')
    const state = play(base, { ...checkPut(base, first)._unsafeUnwrap().transaction, at: 2 })
    expect(checkPut(state, second)._unsafeUnwrapErr()).toMatchSnapshot()
    const raced = apply(state, { ...checkPut(base, second)._unsafeUnwrap().transaction, at: 3 })
    expect([raced.outcome._unsafeUnwrapErr().code, raced.state.configuration.number]).toEqual([RefusalCode.Conflict, 2])
  })

  test('writers of different sections do not conflict', () => {
    const limits = checkPut(base, request(base, { limits: { attemptsPerJob: 2 } }, 'one'))._unsafeUnwrap()
    const weights = checkPut(base, request(base, { placement: { fragmentationWeight: 1 } }, 'two'))._unsafeUnwrap()
    const state = play(base, { ...limits.transaction, at: 2 }, { ...weights.transaction, at: 2 })
    expect(state.configuration.number).toBe(3)
    expect(state.configuration.sectionNumbers.toJSON()).toEqual({ clientAccounts: 1, teams: 1, limits: 2, placement: 3 })
  })

  test('two changes that are valid alone cannot leave a guarantee of a removed account', () => {
    const removed = checkPut(base, request(base, { clientAccounts: [account('song-huong')] }, 'one'))._unsafeUnwrap()
    const given = checkPut(base, request(base, { guarantees: [{ account: 'nacksgarden', shape }] }, 'two'))._unsafeUnwrap()
    const state = play(base, { ...removed.transaction, at: 2 })
    expect(apply(state, { ...given.transaction, at: 2 }).outcome._unsafeUnwrapErr().problems).toHaveLength(1)
  })

  test('a resend gets the first answer, also after later changes and a snapshot', () => {
    const first = request(base, { limits: { attemptsPerJob: 2 } }, 'lost')
    const accepted = play(base, { ...checkPut(base, first)._unsafeUnwrap().transaction, at: 2 })
    const answer = storedAnswer(accepted.configuration, 'all', 'lost')
    const later = decodeState(encodeState(put(accepted, { limits: {} }, 'later', 3)))
    expect(answer).toMatchSnapshot()
    expect(checkPut(later, first)._unsafeUnwrap().answered).toEqual(answer)
    const again = apply(later, { ...checkPut(base, first)._unsafeUnwrap().transaction, at: 4 })
    expect([again.outcome.isOk(), again.state.configuration.number, again.lines.length]).toEqual([true, 3, 0])
    const spaced = { ...first, sectionsJson: JSON.stringify(JSON.parse(first.sectionsJson), null, 2) }
    expect(checkPut(later, spaced)._unsafeUnwrap().answered).toEqual(answer)
    expect(checkPut(later, request(later, { limits: { attemptsPerJob: 2 } }, 'lost'))._unsafeUnwrap().answered).toEqual(answer)
  })

  test('reusing an identifier for a different change is refused, but another team may use it', () => {
    const state = put(base, { limits: { attemptsPerJob: 2 } }, 'same')
    expect(refusal(put(state, { limits: {} }, 'wrong'), { limits: { attemptsPerJob: 9 } }).code).toBe(RefusalCode.IdentifierReused)
    expect(check(state, { clientAccounts: [account('song-huong'), account('new')] }, 'same', 'sales').isOk()).toBe(true)
  })

  test('answers are kept up to an age and a number, and a resend after that changes nothing', () => {
    const first = request(base, { limits: { attemptsPerJob: 2 } }, 'old')
    let state = play(base, { ...checkPut(base, first)._unsafeUnwrap().transaction, at: 2 })
    state = put(state, { limits: {} }, 'late', 3 + PUT_RETENTION_MILLISECONDS)
    expect(state.configuration.puts.keySeq().toArray()).toEqual(['all/late'])
    expect(checkPut(state, first)._unsafeUnwrapErr().code).toBe(RefusalCode.Conflict)
    const crowd = state.configuration.puts.withMutations((map) => {
      for (let number = 1; number <= MAX_STORED_PUTS + 5; number++) map.set(`all/${number}`, { ...map.get('all/late')!, requestIdentifier: `${number}`, number })
    })
    state = put({ ...state, configuration: { ...state.configuration, puts: crowd } }, { limits: {} }, 'newest', 4 + PUT_RETENTION_MILLISECONDS)
    expect(state.configuration.puts.size).toBe(MAX_STORED_PUTS)
  })
})

describe('the effects of an accepted document', () => {
  const declared = put(base, { jobs: [declaredJob('waiting', 'song-huong'), declaredJob('runs', 'nacksgarden')] }, 'declare')
  const busy = running(declared, 'runs')

  test('the consequences of a document are listed before it is accepted', () => {
    const changes = { jobs: [declaredJob('huge', 'song-huong')], clientAccounts: [{ ...account('song-huong'), share: 9 }, account('new')], maintenance: { racks: ['a'] }, guarantees: [], limits: { attemptsPerJob: 1 } }
    const found = check(busy, { ...changes, jobs: [{ ...changes.jobs[0], shape: { ...shape, workers: 9 } }, declaredJob('small', 'new')] })._unsafeUnwrap().consequences
    expect(consequenceLines(found)).toMatchSnapshot()
    expect(consequenceLines(found, 2)).toHaveLength(3)
  })

  test('a removed job is cancelled if it waits and stopped if it runs', () => {
    const state = put(busy, { jobs: [] }, 'remove')
    expect([state.jobs.get('waiting')?.state, state.jobs.get('runs')?.state]).toEqual([JobState.Cancelled, JobState.Stopping])
    expect(storedAnswer(state.configuration, 'all', 'remove')?.consequences).toMatchSnapshot()
  })

  test.each([RemovalRule.Finish, RemovalRule.Cancel])('the running jobs of a removed account follow its removal rule: %s', (whenRemoved) => {
    const { identifier: _, ...specification } = declaredJob('call', 'leaver')
    let state = put(base, { clientAccounts: [...base.configuration.document.clientAccounts, { ...account('leaver'), whenRemoved }] }, 'add')
    state = play(state, { kind: TransactionKind.AcceptJob, at: 2, identifier: 'one', specification }, { kind: TransactionKind.AcceptJob, at: 2, identifier: 'two', specification })
    state = put(running(state, 'one'), { clientAccounts: base.configuration.document.clientAccounts }, 'remove', 4)
    expect([state.jobs.get('one')?.state, state.jobs.get('two')?.state]).toEqual([whenRemoved === RemovalRule.Finish ? JobState.Running : JobState.Stopping, JobState.Cancelled])
    const refused = apply(state, { kind: TransactionKind.AcceptJob, at: 5, identifier: 'three', specification })
    expect(refused.outcome._unsafeUnwrapErr().code).toBe(RefusalCode.UnknownAccount)
  })

  test('an ended job does not run again while it is declared, nor when it is declared again', () => {
    const ended = play(busy, { kind: TransactionKind.FinishJob, at: 4, job: 'runs', attempt: 1, worker: 'w1', answer: { contentType: 'text/plain', base64: '', digest: '' } })
    const forgotten = play(ended, { kind: TransactionKind.Expire, at: 100_000_000 })
    expect(forgotten.jobs.has('runs')).toBe(false)
    expect(put(forgotten, { jobs: forgotten.configuration.document.jobs }, 'again').jobs.has('runs')).toBe(false)
    const rewritten = put(put(ended, { jobs: [] }, 'out'), { jobs: [declaredJob('runs', 'nacksgarden')] }, 'in')
    expect(rewritten.jobs.get('runs')?.state).toBe(JobState.Finished)
    expect(put(play(rewritten, { kind: TransactionKind.Expire, at: 100_000_000 }), { limits: {} }, 'other').jobs.has('runs')).toBe(false)
  })

  test('identifiers of ended jobs are kept only while the document declares them', () => {
    const ended = put(busy, { jobs: [] }, 'out')
    expect(put(ended, { limits: {} }, 'other').spent.size).toBe(0)
    expect(initialState.spent.size).toBe(0)
  })
})
