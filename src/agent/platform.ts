import { err, ok, type Result } from 'neverthrow'
import { Pool } from 'undici'
import { Verdict } from '../core/verdict'
import type { AttemptKey } from '../wire'
import { attemptName, parseAttemptName, type OrphanTask, type Resources } from './attempt'
import { Backoff } from './backoff'

/** Connections to the platform on the same host. */
const PLATFORM_CONNECTIONS = 2
/** Time-out of a request to the platform, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 2_000
/** Upper limit of tries of a start before it is reported as failed. */
const MAX_START_TRIES = 3
/** Limits of the delay between tries, in milliseconds. */
const RETRY_MILLISECONDS = { initial: 20, max: 1_000 }
/** The platform's name for the end of a task that exceeded its memory. */
const OVER_MEMORY = 'memory'

/** The tasks that the platform lists. */
export interface PlatformTasks {
  readonly running: readonly OrphanTask[]
  /** Names of tasks that were ended because they exceeded their memory. */
  readonly overMemory: readonly string[]
}

/** Resource usage of one task; the platform reports it with a delay. */
export interface TaskUsage {
  readonly name: string
  readonly processors: number
  readonly memoryMegabytes: number
}

interface TaskDescription extends Resources { readonly key: string, readonly state: string, readonly end?: string }
interface PlatformResponse { readonly status: number, readonly body: string }

/** Client of the platform on this host. Sends only requests again that are idempotent at the platform. */
export class PlatformClient {
  private closed = false

  private constructor (private readonly pool: Pool) {}

  /**
   * Creates a client. Connections are opened on demand.
   * @param baseUrl - base URL of the platform
   * @returns the client
   */
  static create (baseUrl: string): PlatformClient {
    return new PlatformClient(new Pool(baseUrl, {
      connections: PLATFORM_CONNECTIONS,
      pipelining: 1,
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      connectTimeout: REQUEST_TIMEOUT_MILLISECONDS
    }))
  }

  /**
   * Starts a task. The name makes the request idempotent, so it is sent again if the response is lost.
   * @param key - the attempt
   * @param resources - resources of the task
   * @param leaseUntil - when the platform ends the task by itself, in milliseconds since the epoch
   * @returns nothing, or the verdict if the task is not known to run
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
   * Stops a task. A start that reaches the platform later has no effect. Retried until the platform confirms.
   * @param key - the attempt
   * @returns true once confirmed, false if the client was closed before
   */
  async stop (key: AttemptKey): Promise<boolean> {
    return await this.retryUntilConfirmed(key, 'stop', () => true)
  }

  /**
   * Checkpoints a task and ends it.
   * @param key - the attempt
   * @param isWanted - checked before each try; false ends the retries
   * @returns true once confirmed, false if the platform refused or the checkpoint is no longer wanted
   */
  async checkpoint (key: AttemptKey, isWanted: () => boolean): Promise<boolean> {
    return await this.retryUntilConfirmed(key, 'checkpoint', isWanted)
  }

  /**
   * Renews the lease on tasks that the platform enforces itself.
   * @param names - the tasks
   * @param leaseUntil - the new end, in milliseconds since the epoch
   */
  async renew (names: readonly string[], leaseUntil: number): Promise<void> {
    await this.call('POST', '/renewals', { keys: names, leaseUntil })
  }

  /**
   * Lists the tasks of this worker.
   * @returns the tasks, or undefined if the platform gave no complete response
   */
  async listTasks (): Promise<PlatformTasks | undefined> {
    const tasks = await this.getTasks<TaskDescription>('/tasks')
    return tasks && {
      running: tasks.filter((task) => task.state === 'running').map((task) => ({ key: parseAttemptName(task.key), resources: resourcesOf(task) })),
      overMemory: tasks.filter((task) => task.end === OVER_MEMORY).map((task) => task.key)
    }
  }

  /**
   * Lists the resource usage of the tasks.
   * @returns the usage, empty if the platform gave no complete response
   */
  async usage (): Promise<readonly TaskUsage[]> {
    const tasks = await this.getTasks<Omit<TaskUsage, 'name'> & { readonly key: string }>('/usage')
    return (tasks ?? []).map(({ key, processors, memoryMegabytes }) => ({ name: key, processors, memoryMegabytes }))
  }

  /** Closes all connections; open requests fail. */
  async close (): Promise<void> {
    this.closed = true
    await this.pool.destroy()
  }

  private async retryUntilConfirmed (key: AttemptKey, action: string, isWanted: () => boolean): Promise<boolean> {
    const backoff = Backoff.create(RETRY_MILLISECONDS.initial, RETRY_MILLISECONDS.max)
    while (!this.closed && isWanted()) {
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
 * Returns the verdict of a failed HTTP request.
 * @param error - the error from the HTTP library
 * @returns not run only if no connection was made, since otherwise the request may have arrived
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
