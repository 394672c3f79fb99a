export { Fault, type FaultOrder } from './server'
export { PlatformStandIn, TaskEnd, type TaskRecord } from './platform'
export { expectedAnswer, TargetStandIn, type TargetRun } from './target'
export { OrderFault, WorkerStandIn, type WorkerWitness } from './worker'
