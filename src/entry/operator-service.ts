import { randomUUID } from 'node:crypto'
import { Inject, Injectable } from '@nestjs/common'
import type { Result } from 'neverthrow'
import { Section, type Document, type Maintenance } from '../core/document'
import { notRunRefusal, RefusalCode, type Refusal } from '../core/verdict'
import {
  ControlService, type ChangeMembersReply, type ChangeMembersRequest, type ConfigurationReply, type PutConfigurationRequest, type StatusReply
} from '../wire/index'
import { CallKind, LeaderClient, readRefusal } from '../client/index'
import { RefusalError } from './refusal-answer'

/** Upper limit on the attempts to drain a worker when other writers change the maintenance section at the same time. */
const MAX_DRAIN_ATTEMPTS = 5

type Refusable = Pick<ConfigurationReply, 'refusal'>

/** The document with its section numbers, as shown to operators. */
export interface ConfigurationView {
  readonly number: number
  readonly sections: Readonly<Record<string, number>>
  readonly digest: string
  readonly consequences: readonly string[]
  readonly document?: Document
}

/**
 * Converts the section numbers of a reply to one object.
 * @param reply - a reply from control
 * @returns the number of each section
 */
export function numbersOf (reply: ConfigurationReply): Record<string, number> {
  return Object.fromEntries(reply.sections.map(({ section, number }) => [section, number]))
}

function unwrapReply<Reply extends Refusable> (result: Result<Reply, Refusal>): Reply {
  if (result.isErr()) throw new RefusalError(result.error)
  const { refusal } = result.value
  if (refusal !== undefined) throw new RefusalError(readRefusal(refusal))
  return result.value
}

/** The refusal of a conflicting write carries the current section numbers. */
function unwrapConfigurationReply (result: Result<ConfigurationReply, Refusal>): ConfigurationReply {
  const refusal = result.isOk() ? result.value.refusal : undefined
  if (result.isOk() && refusal?.code === RefusalCode.Conflict) throw new RefusalError(readRefusal(refusal), { numbers: numbersOf(result.value) })
  return unwrapReply(result)
}

function configurationView (reply: ConfigurationReply): ConfigurationView {
  const { number, digest, consequences } = reply
  const document = reply.documentJson === '' ? undefined : JSON.parse(reply.documentJson) as Document
  return { number, sections: numbersOf(reply), digest, consequences, document }
}

/** Sends operators' requests to control. */
@Injectable()
export class OperatorService {
  /**
   * Called by NestJS.
   * @param leader - client of the control leader
   */
  constructor (@Inject(LeaderClient) private readonly leader: LeaderClient) {}

  /**
   * Reads the document and its section numbers.
   * @returns the view; throws a refusal
   */
  async configuration (): Promise<ConfigurationView> {
    return configurationView(unwrapReply(await this.leader.call(ControlService.getConfiguration, {}, CallKind.Read)))
  }

  /**
   * Replaces sections of the document.
   * @param request - the sections, the numbers that were read, and the request identifier
   * @returns the resulting numbers; throws a refusal
   */
  async put (request: PutConfigurationRequest): Promise<ConfigurationView> {
    return configurationView(unwrapConfigurationReply(await this.leader.call(ControlService.putConfiguration, request, CallKind.Repeatable)))
  }

  /**
   * Validates a change without applying it.
   * @param request - as for a put
   * @returns the consequences that the change would have; throws a refusal
   */
  async check (request: PutConfigurationRequest): Promise<ConfigurationView> {
    return configurationView(unwrapConfigurationReply(await this.leader.call(ControlService.checkConfiguration, request, CallKind.Read)))
  }

  /**
   * Reads the status of the cluster from the leader.
   * @returns the status; throws a refusal
   */
  async status (): Promise<StatusReply> {
    return unwrapReply(await this.leader.call(ControlService.status, { confirm: true }, CallKind.Read))
  }

  /**
   * Adds or removes a control host, or transfers the leadership. The request is not resent once it may have arrived.
   * @param request - the change
   * @returns the members; throws a refusal
   */
  async changeMembers (request: ChangeMembersRequest): Promise<ChangeMembersReply> {
    return unwrapReply(await this.leader.call(ControlService.changeMembers, request, CallKind.Once))
  }

  /**
   * Adds a worker to the maintenance section or removes it, by compare-and-set.
   * @param team - the writer's team
   * @param worker - the worker's name
   * @param drained - true to stop giving it new work
   * @returns the resulting numbers; throws a refusal
   */
  async drain (team: string, worker: string, drained: boolean): Promise<ConfigurationView> {
    for (let attempt = 1; ; attempt += 1) {
      const change = await this.drainChange(worker, drained)
      try {
        return await this.put({ team, requestIdentifier: randomUUID(), ...change })
      } catch (error) {
        const conflict = error instanceof RefusalError && error.refusal.code === RefusalCode.Conflict
        if (!conflict || attempt >= MAX_DRAIN_ATTEMPTS) throw error
      }
    }
  }

  private async drainChange (worker: string, drained: boolean): Promise<Pick<PutConfigurationRequest, 'read' | 'sectionsJson'>> {
    const { document, sections } = await this.configuration()
    if (document === undefined) throw new RefusalError(notRunRefusal(RefusalCode.Unavailable, 'control sent no document'))
    const others = document.maintenance.workers.filter((name) => name !== worker)
    const maintenance: Maintenance = { ...document.maintenance, workers: drained ? [...others, worker] : others }
    return {
      read: [{ section: Section.Maintenance, number: sections[Section.Maintenance] ?? 0 }],
      sectionsJson: JSON.stringify({ maintenance })
    }
  }
}
