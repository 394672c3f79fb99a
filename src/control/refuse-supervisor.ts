import { notLeaderRefusal } from './convert'
import type { SupervisorCall } from './supervisors'
import * as wire from '../wire/index'

/**
 * Ends a supervising agent's stream with the refusal of a host that does not lead.
 * @param call - the stream
 * @param leader - the leader's address, where it is known
 */
export function refuseNotLeader (call: SupervisorCall, leader: string | undefined): void {
  call.write(wire.WorkerOrders.fromPartial({ refusal: notLeaderRefusal(leader) }))
  call.end()
}
