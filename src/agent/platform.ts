import { err, ok, type Result } from 'neverthrow'
import { Pool } from 'undici'
import { Verdict } from '../core/verdict'
import type { AttemptKey } from '../wire'
import { attemptName, parseAttemptName, type OrphanTask, type Resources } from './attempt'
import { Backoff } from './backoff'

/** Connections to the platform on the same host. */
const PLATFORM_CONNECTIONS = 2
/** Milliseconds without an answer after which the platform is asked again. */
const ANSWER_TIMEOUT_MILLISECONDS = 2_000
/** Times that a start is sent before its outcome is called unknown. */
const MAX_START_TRIES = 3
/** First and longest wait between tries, in milliseconds. */
const RETRY_MILLISECONDS = { initial: 20, max: 1_000 }
/** The end that the platform states of a task that used more memory than it was given. */
const OVER_MEMORY = 'memory'

/** What the platform shows of its tasks. */
export interface PlatformTasks {
  readonly running: readonly OrphanTask[]
  /** Names of tasks that were ended because they used too much memory. */
  readonly overMemory: readonly string[]
}

/** Seen use of one task, as late as the platform reports it. */
export interface TaskUsage {
  readonly name: string
  readonly processors: number
  readonly memoryMegabytes: number
}

interface TaskDescription extends Resources { readonly key: string, readonly state: string, readonly end?: string }
interface PlatformResponse { readonly status: number, readonly body: string }

/** Speaks to the platform of this host. Nothing is sent twice but what the platform takes as one. */
export class PlatformClient {
  private closed = false

  private constructor (private readonly pool: Pool) {}

  /**
   * Makes a client; connections are opened when needed.
   * @param baseUrl - where the platform listens
   * @returns the client
   */
  static create (baseUrl: string): PlatformClient {
    return new PlatformClient(new Pool(baseUrl, {
      connections: PLATFORM_CONNECTIONS,
      pipelining: 1,
      headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
      bodyTimeout: ANSWER_TIMEOUT_MILLISECONDS,
      connectTimeout: ANSWER_TIMEOUT_MILLISECONDS
    }))
  }

  /**
   * Starts a task. The name makes it idempotent, so it is sent again where the answer is lost.
   * @param key - the attempt
   * @param resources - what the task takes
   * @param leaseUntil - when the platform ends the task by itself, in milliseconds since the epoch
   * @returns nothing, or the verdict where the task is not known to run
   */
  async start (key: AttemptKey, resources: Resources, leaseUntil: number): Promise<Result<void, Verdict>> {
    const backoff = Backoff.create(RETRY_MILLISECONDS.initial, RETRY_MILLISECONDS.max)
    let verdict = Verdict.NotRun
    for (let tries = 0; tries < MAX_START_TRIES && !this.closed; tries++) {
      if (tries > 0) await backoff.wait()
      const answer = await this.call('PUT', taskPath(key), { ...resources, leaseUntil })
      if (answer.isOk() && answer.value.status < 300) return ok(undefined)
      if (answer.isOk() && answer.value.status < 500) return err(verdict)
      if (answer.isOk() || answer.error !== Verdict.NotRun) verdict = Verdict.MayHaveRun
    }
    return err(verdict)
  }

  /**
   * Stops a task, and sees to it that a start still on its way comes to nothing. Tried until the platform confirms.
   * @param key - the attempt
   * @returns true once confirmed, false where the client was closed first
   */
  async stop (key: AttemptKey): Promise<boolean> {
    return await this.retryUntilConfirmed(key, 'stop', () => true)
  }

  /**
   * Checkpoints a task and ends it.
   * @param key - the attempt
   * @param wanted - tells before each try whether the checkpoint is still wanted
   * @returns true once confirmed, false where it can not be had or is no longer wanted
   */
  async checkpoint (key: AttemptKey, wanted: () => boolean): Promise<boolean> {
    return await this.retryUntilConfirmed(key, 'checkpoint', wanted)
  }

  /**
   * Prolongs the platform's own lease on tasks.
   * @param names - the tasks
   * @param leaseUntil - the new end, in milliseconds since the epoch
   */
  async renew (names: readonly string[], leaseUntil: number): Promise<void> {
    await this.call('POST', '/renewals', { keys: names, leaseUntil })
  }

  /**
   * Asks what runs.
   * @returns the view, or nothing where the platform gave no whole answer
   */
  async listTasks (): Promise<PlatformTasks | undefined> {
    const tasks = await this.getTasks<TaskDescription>('/tasks')
    return tasks && {
      running: tasks.filter((task) => task.state === 'running').map((task) => ({ key: parseAttemptName(task.key), resources: resourcesOf(task) })),
      overMemory: tasks.filter((task) => task.end === OVER_MEMORY).map((task) => task.key)
    }
  }

  /**
   * Asks what tasks use.
   * @returns the use, empty where the platform gave no whole answer
   */
  async usage (): Promise<readonly TaskUsage[]> {
    const tasks = await this.getTasks<Omit<TaskUsage, 'name'> & { readonly key: string }>('/usage')
    return (tasks ?? []).map(({ key, processors, memoryMegabytes }) => ({ name: key, processors, memoryMegabytes }))
  }

  /** Closes all connections; calls still waiting come to nothing. */
  async close (): Promise<void> {
    this.closed = true
    await this.pool.destroy()
  }

  private async retryUntilConfirmed (key: AttemptKey, action: string, wanted: () => boolean): Promise<boolean> {
    const backoff = Backoff.create(RETRY_MILLISECONDS.initial, RETRY_MILLISECONDS.max)
    while (!this.closed && wanted()) {
      const answer = await this.call('POST', `${taskPath(key)}/${action}`, {})
      if (answer.isOk() && answer.value.status < 300) return true
      if (answer.isOk() && answer.value.status < 500 && action === 'checkpoint') return false
      await backoff.wait()
    }
    return false
  }

  private async getTasks<Item> (path: string): Promise<readonly Item[] | undefined> {
    const answer = await this.call('GET', path)
    if (answer.isErr() || answer.value.status !== 200) return undefined
    try {
      const { tasks } = JSON.parse(answer.value.body) as { tasks?: unknown }
      return Array.isArray(tasks) ? tasks as Item[] : undefined
    } catch {
      return undefined
    }
  }

  private async call (method: 'GET' | 'PUT' | 'POST', path: string, body?: object): Promise<Result<PlatformResponse, Verdict>> {
    try {
      const response = await this.pool.request({
        method, path, headers: body && { 'content-type': 'application/json' }, body: body && JSON.stringify(body)
      })
      return ok({ status: response.statusCode, body: await response.body.text() })
    } catch (error) {
      return err(verdictOfError(error))
    }
  }
}

/**
 * Tells from a failed call whether any of it can have reached the other side.
 * @param error - what the HTTP library threw
 * @returns not run only where no connection was made
 */
export function verdictOfError (error: unknown): Verdict {
  const code = (error as { code?: string }).code ?? ''
  return notConnectedCodes.has(code) ? Verdict.NotRun : Verdict.MayHaveRun
}

const notConnectedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

function taskPath (key: AttemptKey): string {
  return `/tasks/${encodeURIComponent(attemptName(key))}`
}

function resourcesOf ({ mask, slots, processors, memoryMegabytes }: TaskDescription): Resources {
  return { mask, slots, processors, memoryMegabytes }
}
