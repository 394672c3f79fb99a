/** Translates operators' requests to change the members of the cluster, and the replica's refusals of them. */
import { notRunRefusal, RefusalCode, Verdict } from '../core/index'
import * as wire from '../wire/index'
import { toWireRefusal } from './convert'
import { AgreementRefusal, MemberChangeKind, type MemberChange, type MemberChangeError, type ReplicaRefusal } from './replica'

/** Time after which a refused membership change may be tried again, in milliseconds. */
const MEMBERS_RETRY_AFTER_MILLISECONDS = 500

/** Membership changes by the operation in the request. Any other operation transfers leadership. */
export const memberChanges: { readonly [operation: string]: (request: wire.ChangeMembersRequest) => MemberChange } = {
  add: ({ identity, address }) => ({ kind: MemberChangeKind.AddLearner, identity, address }),
  promote: ({ identity }) => ({ kind: MemberChangeKind.Promote, identity }),
  remove: ({ identity }) => ({ kind: MemberChangeKind.Remove, identity })
}

/**
 * Explains to the operator why the membership was not changed.
 * @param error - the refusal of the replica
 * @returns the refusal, with the leader where it is known
 */
export function memberRefusal (error: ReplicaRefusal & Partial<MemberChangeError>): wire.Refusal {
  const code = error.refusal === AgreementRefusal.ReplicaRefusal ? RefusalCode.NotLeader : RefusalCode.Conflict
  const verdict = error.mayHaveRun === true ? Verdict.MayHaveRun : Verdict.NotRun
  return toWireRefusal({ ...notRunRefusal(code, `members were not changed: ${error.refusal}`, MEMBERS_RETRY_AFTER_MILLISECONDS), verdict }, error.leader)
}
