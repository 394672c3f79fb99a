import { FaultyServer, json, type FaultSettings, type ReceivedRequest, type Reply } from './faulty-server'

/** Age from which on the usage of a task is reported, in milliseconds. */
const USAGE_DELAY_MILLISECONDS = 1_000
/** Upper limit of ended tasks in the list; they are listed so that agents learn how they ended. */
const MAX_LISTED_ENDED_TASKS = 64
/** Upper limit of remembered names of ended tasks; a late start of one of them has no effect. */
const MAX_REMEMBERED_NAMES = 65_536

/** A request to start a task. */
interface TaskRequest {
  readonly mask: number
  readonly slots: number
  readonly processors: number
  readonly memoryMegabytes: number
  /** Milliseconds since the epoch. */
  readonly leaseUntil: number
}

/** How a task ended. */
export enum TaskEnd {
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  LeaseExpired = 'lease-over',
  OverMemory = 'memory',
  Died = 'died'
}

/** A task that the platform ran or is running. */
export interface TaskRun {
  readonly key: string
  readonly mask: number
  readonly slots: number
  /** Milliseconds since the epoch. */
  readonly startedAt: number
  /** Milliseconds since the epoch, 0 while it runs. */
  readonly endedAt: number
  readonly end?: TaskEnd
}

interface Task extends TaskRequest {
  readonly key: string
  readonly startedAt: number
  readonly timer: NodeJS.Timeout
}

/** Stand-in for the platform of one worker: runs tasks under leases, and never assigns an accelerator to two tasks. */
export class PlatformStandIn {
  /** The ended tasks, in the order of their ends. */
  private readonly endedTasks: TaskRun[] = []
  private readonly running = new Map<string, Task>()
  private readonly ended = new Map<string, TaskEnd>()
  /** Number of starts that were refused because an accelerator was in use. */
  conflicts = 0
  private server!: FaultyServer

  private constructor (private readonly accelerators: number) {}

  /**
   * Starts the stand-in.
   * @param port - the port, 0 for any
   * @param accelerators - number of accelerators of the worker
   * @returns the listening stand-in
   */
  static async create (port = 0, accelerators = 8): Promise<PlatformStandIn> {
    const platform = new PlatformStandIn(accelerators)
    platform.server = await FaultyServer.create(port, (request) => platform.answer(request))
    return platform
  }

  /**
   * The base URL.
   * @returns the URL
   */
  get url (): string {
    return this.server.url
  }

  /**
   * All tasks, the ended ones first.
   * @returns the tasks
   */
  get taskRuns (): readonly TaskRun[] {
    const present = [...this.running.values()].map(({ key, mask, slots, startedAt }) => ({ key, mask, slots, startedAt, endedAt: 0 }))
    return [...this.endedTasks, ...present]
  }

  /**
   * Sets the active fault.
   * @param order - the fault
   */
  setFault (order: FaultSettings): void {
    this.server.setFault(order)
  }

  /**
   * Ends a task as if it had ended by itself.
   * @param key - its name
   * @param end - how it ends
   */
  kill (key: string, end = TaskEnd.Died): void {
    this.finish(key, end)
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    for (const task of this.running.values()) clearTimeout(task.timer)
    await this.server.close()
  }

  private answer ({ method, path, body }: ReceivedRequest): Reply {
    const [, root = '', name = '', action = ''] = path.split('/')
    const key = decodeURIComponent(name)
    const handle = routes[`${method} ${root}${name && '/KEY'}${action && `/${action}`}`]
    return handle === undefined ? json(404, {}) : handle(this, key, body)
  }

  /** @internal */
  put (key: string, order: TaskRequest): Reply {
    if (this.ended.has(key)) return json(410, { reason: 'ended' })
    if (this.running.has(key)) return json(200, { state: 'running' })
    const taken = [...this.running.values()].reduce((mask, task) => mask | task.mask, 0)
    const outside = order.mask >= 2 ** this.accelerators
    if ((taken & order.mask) !== 0 || outside) { this.conflicts++; return json(409, { reason: 'accelerator-taken' }) }
    this.running.set(key, { ...order, key, startedAt: Date.now(), timer: this.leaseTimer(key, order.leaseUntil) })
    return json(201, { state: 'running' })
  }

  /** @internal */
  stop (key: string): Reply {
    this.finish(key, TaskEnd.Stopped)
    return json(200, { state: 'ended' })
  }

  /** @internal */
  checkpoint (key: string): Reply {
    if (this.running.has(key)) this.finish(key, TaskEnd.Checkpointed)
    const end = this.ended.get(key)
    return end === TaskEnd.Checkpointed ? json(200, { state: 'ended' }) : json(410, { reason: end })
  }

  /** @internal */
  renew (keys: readonly string[], leaseUntil: number): Reply {
    for (const key of keys) {
      const task = this.running.get(key)
      if (task === undefined) continue
      clearTimeout(task.timer)
      this.running.set(key, { ...task, leaseUntil, timer: this.leaseTimer(key, leaseUntil) })
    }
    return json(200, {})
  }

  /** @internal */
  list (): Reply {
    const running = [...this.running.values()].map(({ timer, ...task }) => ({ ...task, state: 'running' }))
    const ended = this.endedTasks.slice(-MAX_LISTED_ENDED_TASKS).map((task) => ({ ...task, state: 'ended' }))
    return json(200, { tasks: [...running, ...ended] })
  }

  /** @internal */
  usage (): Reply {
    const reported = [...this.running.values()].filter(({ startedAt }) => Date.now() - startedAt >= USAGE_DELAY_MILLISECONDS)
    const tasks = reported.map(({ key, processors, memoryMegabytes }) => ({ key, processors, memoryMegabytes }))
    return json(200, { tasks })
  }

  private finish (key: string, end: TaskEnd): void {
    const task = this.running.get(key)
    this.running.delete(key)
    if (task !== undefined || !this.ended.has(key)) this.ended.set(key, end)
    if (this.ended.size > MAX_REMEMBERED_NAMES) this.ended.delete([...this.ended.keys()][0] ?? '')
    if (task === undefined) return
    clearTimeout(task.timer)
    const { mask, slots, startedAt } = task
    this.endedTasks.push({ key, mask, slots, startedAt, endedAt: Date.now(), end })
  }

  private leaseTimer (key: string, leaseUntil: number): NodeJS.Timeout {
    return setTimeout(() => { this.finish(key, TaskEnd.LeaseExpired) }, Math.max(0, leaseUntil - Date.now()))
  }
}

const routes: Readonly<Record<string, (platform: PlatformStandIn, key: string, body: Buffer) => Reply>> = {
  'PUT tasks/KEY': (platform, key, body) => platform.put(key, JSON.parse(body.toString()) as TaskRequest),
  'GET tasks': (platform) => platform.list(),
  'GET usage': (platform) => platform.usage(),
  'GET ran': (platform) => json(200, platform.taskRuns),
  'POST tasks/KEY/stop': (platform, key) => platform.stop(key),
  'POST tasks/KEY/checkpoint': (platform, key) => platform.checkpoint(key),
  'POST tasks/KEY/throttle': () => json(200, { state: 'throttled' }),
  'POST renewals': (platform, _key, body) => {
    const { keys, leaseUntil } = JSON.parse(body.toString()) as { keys: string[], leaseUntil: number }
    return platform.renew(keys, leaseUntil)
  }
}
