export { assessCrash, CrashEvidence, noSuspects, type CrashAssessment, type CrashSuspect, type SignsOfLife, type WorkerCrash } from './crash-evidence'
export {
  evacuatedDataCentres, evacuatedRuns, evacuationCount, isDataCentreName, isEvacuated, MAX_DATA_CENTRE_NAME_LENGTH, MAX_EVACUATED_DATA_CENTRES, RETURN_RAMP_MILLISECONDS, runsToAbandon, type ReportedRuns
} from './evacuations'
export * from './model'
export * from './resources'
export { revocableStartsAt, type RevocableStart } from './revocable-starts'
export * from './run'
export * from './transactions'
export {
  checkQueueDocument, queueDocumentSchema,
  type NumberedDocument, type Queue, type QueueAccount, type QueueDocument, type Service
} from './document'
export { checkStepJob, stepJobSchema } from './specification'
export { jobOfPath, resolveQueue, resolveRoute, type NamedQueue, type QueueAddress, type Route } from './routing'
export { queueOfJob } from './jobs'
export * from './pending-jobs'
export { objectiveMilliseconds } from './waiting-gangs'
export { Mechanism, policyWithout, stepPolicy, type StepPolicy } from './policy'
export { scheduleSteps, type FleetView, type RunProgress } from './schedule'
export { stopInputs, type StopInputs } from './runs-to-stop'
export { observeProgress, type LearnedRunTimes, type ReportedProgress, type StallAssessment } from './stall'
export * from './suspect-tracker'
export { explainWaiting, WaitingReason, type ExplainedGang } from './waiting-reason'
export { slowWorkers, WorkerPaceTracker, type TaskProgress } from './learning/worker-pace'
export { comparableTasks } from './learning/comparable-tasks'
