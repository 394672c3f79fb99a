export * from './generated/control'
export { operationNames } from './operation-names'
export {
  PeerClient, PeerService, SnapshotChunk, type Entry as PeerEntry, type IdentifyReply, type JoinReply, type JoinRequest, type PeerMessage, type PeerServer,
  type SnapshotHead as PeerSnapshotHead
} from './generated/peers'
