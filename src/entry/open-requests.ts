import type { FastifyReply } from 'fastify'
import { FollowStopReason } from './job-follower'

/** The requests that are open at this entry. A graceful stop waits for them, and tells the callers that remain to use another entry. */
export class OpenRequests {
  private readonly open = new Map<FastifyReply, AbortController>()
  private stopping = false
  private onDrained: (() => void) | undefined

  private constructor () {}

  /**
   * Creates an empty set.
   * @returns the open requests
   */
  static create (): OpenRequests {
    return new OpenRequests()
  }

  /** True once a stop has begun. */
  get isStopping (): boolean { return this.stopping }

  /** Number of open requests. */
  get count (): number { return this.open.size }

  /**
   * Adds a request; it is removed when its response is closed.
   * @param reply - the open reply
   */
  add (reply: FastifyReply): void {
    const controller = new AbortController()
    this.open.set(reply, controller)
    reply.raw.once('close', () => {
      if (!reply.raw.writableFinished) controller.abort(FollowStopReason.CallerLeft)
      this.open.delete(reply)
      if (this.open.size === 0) this.onDrained?.()
    })
  }

  /**
   * Returns the signal that ends the work on a request early.
   * @param reply - the open reply
   * @returns a signal aborted with a {@link FollowStopReason}
   */
  signalOf (reply: FastifyReply): AbortSignal {
    return this.open.get(reply)?.signal ?? AbortSignal.abort(FollowStopReason.CallerLeft)
  }

  /** Marks the entry as stopping, so that new requests are refused. */
  beginStop (): void {
    this.stopping = true
  }

  /**
   * Waits until no request is open.
   * @param milliseconds - time limit
   * @returns when no request is open or the time limit has passed
   */
  async drain (milliseconds: number): Promise<void> {
    if (this.open.size === 0) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      this.onDrained = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Ends the work on all open requests; waiting callers are told how to fetch their answers from another entry. */
  handOver (): void {
    for (const controller of this.open.values()) controller.abort(FollowStopReason.HandedOver)
  }
}
