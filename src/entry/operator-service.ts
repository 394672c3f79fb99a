import { randomUUID } from 'node:crypto'
import { Inject, Injectable } from '@nestjs/common'
import type { Result } from 'neverthrow'
import { Section, type Document, type Maintenance } from '../core/document'
import { notRun, RefusalCode, type Refusal } from '../core/verdict'
import {
  ControlService, type ChangeMembersReply, type ChangeMembersRequest, type ConfigurationReply, type PutConfigurationRequest, type StatusReply
} from '../wire/index'
import { CallKind, Leader, readRefusal } from '../client/index'
import { RefusalError } from './refusal-answer'

/** How often a drain is tried again when another writer was faster. */
const DRAIN_TRIES = 5

type Refusable = Pick<ConfigurationReply, 'refusal'>

/** The document with its numbers, as operators see it. */
export interface ConfigurationView {
  readonly number: number
  readonly sections: Readonly<Record<string, number>>
  readonly digest: string
  readonly consequences: readonly string[]
  readonly document?: Document
}

/**
 * The numbers of the sections as one object.
 * @param reply - a reply of control
 * @returns section to number
 */
export function numbersOf (reply: ConfigurationReply): Record<string, number> {
  return Object.fromEntries(reply.sections.map(({ section, number }) => [section, number]))
}

function checked<Reply extends Refusable> (result: Result<Reply, Refusal>): Reply {
  if (result.isErr()) throw new RefusalError(result.error)
  const { refusal } = result.value
  if (refusal !== undefined) throw new RefusalError(readRefusal(refusal))
  return result.value
}

/** A conflict tells the writer the numbers that are in force now. */
function checkedNumbers (result: Result<ConfigurationReply, Refusal>): ConfigurationReply {
  const refusal = result.isOk() ? result.value.refusal : undefined
  if (result.isOk() && refusal?.code === RefusalCode.Conflict) throw new RefusalError(readRefusal(refusal), { numbers: numbersOf(result.value) })
  return checked(result)
}

function configurationView (reply: ConfigurationReply): ConfigurationView {
  const { number, digest, consequences } = reply
  const document = reply.documentJson === '' ? undefined : JSON.parse(reply.documentJson) as Document
  return { number, sections: numbersOf(reply), digest, consequences, document }
}

/** Carries the operators' requests to control. */
@Injectable()
export class OperatorService {
  /**
   * Made by nestjs.
   * @param leader - the way to control
   */
  constructor (@Inject(Leader) private readonly leader: Leader) {}

  /**
   * Reads the document and its numbers.
   * @returns the view; throws the refusal
   */
  async configuration (): Promise<ConfigurationView> {
    return configurationView(checked(await this.leader.call(ControlService.getConfiguration, {}, CallKind.Read)))
  }

  /**
   * Replaces sections of the document.
   * @param request - the sections, the numbers that were read, and the request identifier
   * @returns the numbers now in force; throws the refusal
   */
  async put (request: PutConfigurationRequest): Promise<ConfigurationView> {
    return configurationView(checkedNumbers(await this.leader.call(ControlService.putConfiguration, request, CallKind.Repeatable)))
  }

  /**
   * Checks a change without making it.
   * @param request - as for a put
   * @returns what the change would do; throws the refusal
   */
  async check (request: PutConfigurationRequest): Promise<ConfigurationView> {
    return configurationView(checkedNumbers(await this.leader.call(ControlService.checkConfiguration, request, CallKind.Read)))
  }

  /**
   * Asks the leader how things stand.
   * @returns the status; throws the refusal
   */
  async status (): Promise<StatusReply> {
    return checked(await this.leader.call(ControlService.status, { confirm: true }, CallKind.Read))
  }

  /**
   * Adds or removes a control host, or moves the leadership. Not sent again once it may have arrived.
   * @param request - the change
   * @returns the members; throws the refusal
   */
  async changeMembers (request: ChangeMembersRequest): Promise<ChangeMembersReply> {
    return checked(await this.leader.call(ControlService.changeMembers, request, CallKind.Once))
  }

  /**
   * Puts a worker into or takes it out of the maintenance section, by compare-and-set.
   * @param team - the writer's team
   * @param worker - the worker's name
   * @param drained - whether it gets no new work
   * @returns the numbers now in force; throws the refusal
   */
  async drain (team: string, worker: string, drained: boolean): Promise<ConfigurationView> {
    for (let tries = 1; ; tries += 1) {
      const change = await this.drainChange(worker, drained)
      try {
        return await this.put({ team, requestIdentifier: randomUUID(), ...change })
      } catch (error) {
        const conflict = error instanceof RefusalError && error.refusal.code === RefusalCode.Conflict
        if (!conflict || tries >= DRAIN_TRIES) throw error
      }
    }
  }

  private async drainChange (worker: string, drained: boolean): Promise<Pick<PutConfigurationRequest, 'read' | 'sectionsJson'>> {
    const { document, sections } = await this.configuration()
    if (document === undefined) throw new RefusalError(notRun(RefusalCode.Unavailable, 'control sent no document'))
    const others = document.maintenance.workers.filter((name) => name !== worker)
    const maintenance: Maintenance = { ...document.maintenance, workers: drained ? [...others, worker] : others }
    return {
      read: [{ section: Section.Maintenance, number: sections[Section.Maintenance] ?? 0 }],
      sectionsJson: JSON.stringify({ maintenance })
    }
  }
}
