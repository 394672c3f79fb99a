/** The leader's handlers of requests to list, start and finish evacuations of data centres. */
import { err, type Result } from 'neverthrow'
import {
  evacuatedDataCentres, evacuatedRuns, evacuationCount, isDataCentreName, isEvacuated, MAX_DATA_CENTRE_NAME_LENGTH, notRunRefusal, RefusalCode, StepTransactionKind, type Refusal, type StepTransaction
} from '../core/index'
import * as wire from '../wire/index'
import { notLeaderRefusal, toWireRefusal } from './convert'
import type { QueueContext } from './queue-calls'

/** What the handlers need of their control host. */
export type EvacuationContext = Pick<QueueContext, 'now' | 'leads' | 'leader' | 'committed' | 'submit' | 'confirm' | 'log'>

/**
 * Lists the evacuated data centres.
 * @param context - the control host
 * @param request - the data centre whose change count is wanted
 * @returns the list and the count, confirmed by a quorum; or the refusal
 */
export async function listEvacuations (context: EvacuationContext, request: wire.EvacuationQuery): Promise<wire.EvacuationList> {
  if (!context.leads() || !await context.confirm()) return wire.EvacuationList.fromPartial({ refusal: notLeaderRefusal(context.leader()) })
  const { steps } = context.committed()
  const runs = evacuatedRuns(steps)
  return wire.EvacuationList.fromPartial({
    evacuations: evacuatedDataCentres(steps).map(({ dataCentre, changedAt }) => ({ dataCentre, startedAt: changedAt, runs: runs.get(dataCentre) ?? 0 })),
    changeCount: request.dataCentre === '' ? 0 : evacuationCount(steps, request.dataCentre)
  })
}

/**
 * Starts or finishes an evacuation. An order for a data centre that already is as requested is committed like the first one,
 * so that its acknowledgement is as durable.
 * @param context - the control host
 * @param request - the order
 * @returns an empty reply once the order is committed, or the refusal
 */
export async function changeEvacuation (context: EvacuationContext, request: wire.EvacuationRequest): Promise<wire.EvacuationReply> {
  const { dataCentre, evacuate, changeCount, team } = request
  if (!context.leads()) return wire.EvacuationReply.fromPartial({ refusal: notLeaderRefusal(context.leader()) })
  const repeated = isEvacuated(context.committed().steps, dataCentre) === evacuate
  const outcome = await submit(context, request)
  const fields = { dataCentre: dataCentre.slice(0, MAX_DATA_CENTRE_NAME_LENGTH), evacuate, changeCount, ...team !== '' && { team } }
  if (outcome.isErr()) {
    const { code, verdict } = outcome.error
    context.log('evacuation-refused', { ...fields, code, verdict })
    return wire.EvacuationReply.fromPartial({ refusal: toWireRefusal(outcome.error, context.leader()) })
  }
  const { steps } = context.committed()
  const workers = [...steps.incarnations.values()].filter((worker) => worker.dataCentre === dataCentre)
  context.log(evacuate ? 'evacuation-started' : 'evacuation-finished', {
    ...fields, repeated, workers: workers.length, runs: workers.reduce((sum, { runs }) => sum + runs.size, 0), evacuated: evacuatedDataCentres(steps).length
  })
  return wire.EvacuationReply.fromPartial({})
}

async function submit (context: EvacuationContext, { dataCentre, evacuate, changeCount, team }: wire.EvacuationRequest): Promise<Result<void, Refusal>> {
  if (!isDataCentreName(dataCentre)) return err(notRunRefusal(RefusalCode.BadRequest, `the name of a data centre has 1 to ${MAX_DATA_CENTRE_NAME_LENGTH} characters`))
  const fields = { at: context.now(), dataCentre, changeCount, ...team !== '' && { team } }
  const transaction: StepTransaction = evacuate ? { kind: StepTransactionKind.StartEvacuation, ...fields } : { kind: StepTransactionKind.FinishEvacuation, ...fields }
  return await context.submit(transaction)
}
