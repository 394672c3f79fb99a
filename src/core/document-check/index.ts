export { checkQueues, type CheckedDocument, type QueueCheckContext } from './check-queues'
export { checkSections } from './check-sections'
export { FindingKind, refusedReport, type DocumentReport, type Finding } from './finding'
export type { FleetSize } from './queue-findings'
