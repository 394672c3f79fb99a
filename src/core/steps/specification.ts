/** Checks what a caller hands in as a job of steps. */
import { Type } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import { checkAgainst } from '../problems'
import type { Problem } from '../verdict'
import type { Gang, StepJobSpecification, StepSpecification } from './model'

/** Most bytes of the text that a job hands to its tasks. */
const MOST_PAYLOAD_CHARACTERS = 4_000
const MOST_STEPS = 256
const MOST_TASKS = 10_000

const strict = { additionalProperties: false }
const count = (most: number): ReturnType<typeof Type.Integer> => Type.Integer({ minimum: 0, maximum: most, default: 0 })

const stepSchema = Type.Object({
  tasks: Type.Integer({ minimum: 1, maximum: MOST_TASKS }),
  processors: count(100_000_000),
  memoryMegabytes: count(1_000_000_000),
  accelerators: count(10_000),
  estimateMilliseconds: Type.Number({ minimum: 0, default: 0 }),
  after: Type.Array(Type.Integer({ minimum: 0, maximum: MOST_STEPS }), { default: [] }),
  gang: Type.Boolean({ default: false }),
  sameRack: Type.Boolean({ default: false }),
  label: Type.String({ maxLength: 256, default: '' }),
  dataRack: Type.String({ maxLength: 256, default: '' }),
  mostPerWorker: count(MOST_TASKS),
  checkpoints: Type.Boolean({ default: false })
}, strict)

/** What a caller hands in: see {@link StepJobSpecification}. */
export const stepJobSchema = Type.Object({
  payload: Type.String({ maxLength: MOST_PAYLOAD_CHARACTERS }),
  steps: Type.Array(stepSchema, { minItems: 1, maxItems: MOST_STEPS })
}, strict)

/**
 * Checks a job and fills the defaults.
 * @param value - the parsed job
 * @returns the job, or all problems at once
 */
export function checkStepJob (value: unknown): Result<StepJobSpecification, Problem[]> {
  return checkAgainst(stepJobSchema, value).andThen((job) => {
    const problems = job.steps.flatMap((step, position) => laterSteps(step, position))
    return problems.length > 0 ? err(problems) : ok(job)
  })
}

/** A step may only wait for steps before it, so that no job waits for itself. */
function laterSteps ({ after }: StepSpecification, position: number): Problem[] {
  return after.flatMap((number, place) => number < position
    ? []
    : [{ path: `/steps/${position}/after/${place}`, value: String(number), expected: `the number of a step before ${position}` }])
}

/**
 * The gangs of a step before anything has run.
 * @param step - the step
 * @returns one gang of all tasks, or one of each task
 */
export function gangsOf (step: StepSpecification): Gang[] {
  const size = step.gang ? step.tasks : 1
  return Array.from({ length: step.tasks / size }, (_, position) => (
    { first: position * size, size, attempts: 0, failures: 0, checkpoint: '', done: false }))
}

/**
 * The accelerators that a job needs to begin.
 * @param job - what the caller handed in
 * @returns the sum over all steps that wait for no other
 */
export function firstStepAccelerators (job: StepJobSpecification): number {
  const roots = job.steps.filter(({ after }) => after.length === 0)
  return roots.reduce((sum, { accelerators, tasks }) => sum + accelerators * tasks, 0)
}
