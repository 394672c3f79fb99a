/** Validates the step jobs that callers submit. */
import { Type } from '@sinclair/typebox'
import { err, ok, type Result } from 'neverthrow'
import { checkAgainst } from '../problems'
import type { Problem } from '../verdict'
import type { Gang, StepJobSpecification, StepSpecification } from './model'

/** Maximum length of the payload that a job passes to its tasks, in characters. */
const MAX_PAYLOAD_CHARACTERS = 4_000
const MAX_STEPS = 256
const MAX_TASKS = 10_000
/** Maximum number of tasks in all steps of a job: more than three times the tasks of the largest fleet. */
const MAX_JOB_TASKS = 20_000

const strict = { additionalProperties: false }
const count = (maximum: number): ReturnType<typeof Type.Integer> => Type.Integer({ minimum: 0, maximum, default: 0 })

const stepSchema = Type.Object({
  tasks: Type.Integer({ minimum: 1, maximum: MAX_TASKS }),
  processors: count(100_000_000),
  memoryMegabytes: count(1_000_000_000),
  accelerators: count(10_000),
  estimateMilliseconds: Type.Number({ minimum: 0, default: 0 }),
  after: Type.Array(Type.Integer({ minimum: 0, maximum: MAX_STEPS }), { default: [] }),
  gang: Type.Boolean({ default: false }),
  sameRack: Type.Boolean({ default: false }),
  label: Type.String({ maxLength: 256, default: '' }),
  dataRack: Type.String({ maxLength: 256, default: '' }),
  mostPerWorker: count(MAX_TASKS),
  checkpoints: Type.Boolean({ default: false })
}, strict)

/** Schema of {@link StepJobSpecification}. */
export const stepJobSchema = Type.Object({
  payload: Type.String({ maxLength: MAX_PAYLOAD_CHARACTERS }),
  steps: Type.Array(stepSchema, { minItems: 1, maxItems: MAX_STEPS })
}, strict)

/**
 * Validates a job and fills in defaults.
 * @param value - the parsed job
 * @returns the job, or all problems at once
 */
export function checkStepJob (value: unknown): Result<StepJobSpecification, Problem[]> {
  return checkAgainst(stepJobSchema, value).andThen((job) => {
    const problems = [...checkTaskCount(job.steps), ...job.steps.flatMap((step, position) => checkStepOrder(step, position))]
    return problems.length > 0 ? err(problems) : ok(job)
  })
}

function checkTaskCount (steps: readonly StepSpecification[]): Problem[] {
  const tasks = steps.reduce((sum, step) => sum + step.tasks, 0)
  return tasks <= MAX_JOB_TASKS ? [] : [{ path: '/steps', value: `${tasks} tasks`, expected: `at most ${MAX_JOB_TASKS} tasks in all steps of a job` }]
}

/** A step may only depend on steps before it, which rules out cyclic dependencies. */
function checkStepOrder ({ after }: StepSpecification, position: number): Problem[] {
  return after.flatMap((number, index) => number < position
    ? []
    : [{ path: `/steps/${position}/after/${index}`, value: String(number), expected: `the number of a step before ${position}` }])
}

/**
 * Creates the gangs of a step, none of which has run.
 * @param step - the step
 * @returns one gang of all tasks where the step asks for a gang, otherwise one gang for each task
 */
export function initialGangs (step: StepSpecification): Gang[] {
  const size = step.gang ? step.tasks : 1
  return Array.from({ length: step.tasks / size }, (_, position) => (
    { first: position * size, size, attempts: 0, failures: 0, checkpoint: '', done: false }))
}

/**
 * Counts the accelerators that a job requires at its start.
 * @param job - the job as submitted
 * @returns the sum over all steps that depend on no other step
 */
export function initialAccelerators (job: StepJobSpecification): number {
  const roots = job.steps.filter(({ after }) => after.length === 0)
  return roots.reduce((sum, { accelerators, tasks }) => sum + accelerators * tasks, 0)
}
