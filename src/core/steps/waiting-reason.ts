/** Why gangs wait, for whoever reads the log. Decides nothing. */
import { carriesLabel, eligibleWorkers, needsOneRack, rackGroups, type Choice } from './candidates'
import type { Life, StepState } from './model'
import { guaranteedJobs, tasksOf, waitingGangs, type WaitingGang } from './order'
import { placeTasks, Rooms } from './rooms'
import type { GangKey } from './transactions'

/** What a waiting gang lacks. */
export enum WaitingReason {
  /** No worker of its service is announced, or all leave. */
  NoWorker = 'no-worker',
  /** No worker of its service carries its label. */
  NoLabel = 'no-label',
  /** The workers that it may use are not heard of. */
  WorkersSilent = 'workers-silent',
  /** Workers that fail runs or hold them up are the only ones left. */
  WorkersNotTrusted = 'workers-not-trusted',
  /** There is room, but not in one rack. */
  NoRack = 'no-rack',
  /** There is no room, and its account's guaranteed accelerators are in use. */
  GuaranteeUsedUp = 'guarantee-used-up',
  NoRoom = 'no-room'
}

/** A waiting gang with what it lacks. */
export interface ExplainedGang {
  readonly key: GangKey
  readonly account: string
  readonly priority: number
  readonly acceptedAt: number
  readonly reason: WaitingReason
}

/**
 * Explains why gangs wait after a round of decisions; one gang speaks for all of its step.
 * @param state - the jobs of steps
 * @param view - the time, and what limits the choice of workers
 * @returns the first waiting gang of each step, in the order in which they are looked at
 */
export function explainWaiting (state: StepState, view: Choice & { readonly now: number }): ExplainedGang[] {
  const rooms = Rooms.of(state.lives.values())
  const explained = new Map<string, ExplainedGang>()
  for (const waiting of waitingGangs(state, guaranteedJobs(state), view.now)) {
    const { key, job: { account, acceptedAt }, queue: { priority } } = waiting
    const step = `${key.job}.${key.step}`
    if (!explained.has(step)) explained.set(step, { key, account, priority, acceptedAt, reason: reasonOf(state, waiting, view, rooms) })
  }
  return [...explained.values()]
}

function reasonOf (state: StepState, waiting: WaitingGang, choice: Choice, rooms: Rooms): WaitingReason {
  const { queue, step, guaranteed } = waiting
  const present = [...state.lives.values()].filter(({ service, leaving }) => service === queue.service && !leaving)
  if (present.length === 0) return WaitingReason.NoWorker
  if (!present.some((life) => carriesLabel(life, step))) return WaitingReason.NoLabel
  const workers = eligibleWorkers(state, waiting, choice)
  if (workers.length === 0) return WaitingReason.WorkersSilent
  if (workers.every(({ incarnation }) => choice.suspects.has(incarnation))) return WaitingReason.WorkersNotTrusted
  if (needsOneRack(step) && rackGroups(step, workers).length > 1 && fits(waiting, workers, rooms)) return WaitingReason.NoRack
  return queue.priority === 0 && !guaranteed ? WaitingReason.GuaranteeUsedUp : WaitingReason.NoRoom
}

function fits (waiting: WaitingGang, workers: readonly Life[], rooms: Rooms): boolean {
  return placeTasks(waiting.need, tasksOf(waiting), workers, rooms.copy(workers)) !== undefined
}
