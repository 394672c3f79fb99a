export { Fault, type FaultSettings } from './faulty-server'
export { PlatformStandIn, TaskEnd, type TaskRun } from './platform'
export { expectedAnswer, TargetStandIn, type TargetRun } from './target'
export { OrderFault, WorkerStandIn, type WorkerObservations } from './worker'
