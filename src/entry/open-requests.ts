import type { FastifyReply } from 'fastify'
import { StopReason } from './job-follower'

/** The requests that are open at this entry, so that a stop can wait for them and hand over the rest. */
export class OpenRequests {
  private readonly open = new Map<FastifyReply, AbortController>()
  private stopping = false
  private whenEmpty: (() => void) | undefined

  private constructor () {}

  /**
   * Makes an empty register.
   * @returns the register
   */
  static create (): OpenRequests {
    return new OpenRequests()
  }

  /** True from the moment a stop was asked for. */
  get isStopping (): boolean { return this.stopping }

  /** Requests open now. */
  get count (): number { return this.open.size }

  /**
   * Registers a request until its connection is done with it.
   * @param reply - the open reply
   */
  add (reply: FastifyReply): void {
    const controller = new AbortController()
    this.open.set(reply, controller)
    reply.raw.once('close', () => {
      if (!reply.raw.writableFinished) controller.abort(StopReason.CallerLeft)
      this.open.delete(reply)
      if (this.open.size === 0) this.whenEmpty?.()
    })
  }

  /**
   * The signal that ends a request's work early.
   * @param reply - the open reply
   * @returns a signal aborted with a {@link StopReason}
   */
  signalOf (reply: FastifyReply): AbortSignal {
    return this.open.get(reply)?.signal ?? AbortSignal.abort(StopReason.CallerLeft)
  }

  /** From now on the entry takes nothing new. */
  beginStop (): void {
    this.stopping = true
  }

  /**
   * Waits until nothing is open.
   * @param milliseconds - how long at most
   * @returns when nothing is open or the time is over
   */
  async drain (milliseconds: number): Promise<void> {
    if (this.open.size === 0) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      this.whenEmpty = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Tells all waiting callers how to fetch their answers elsewhere. */
  handOver (): void {
    for (const controller of this.open.values()) controller.abort(StopReason.HandedOver)
  }
}
