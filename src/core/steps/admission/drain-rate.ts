/** The rate at which waiting work drains: it starts, or its jobs end. Measured by the leader, which sees each admission. */
import { addWork, noWork, type WaitingWorkIndex, type WorkSize } from './waiting-work'

/** Time over which a rate is measured, in milliseconds: a few times the run time of a short task. */
const WINDOW_MILLISECONDS = 20_000

interface Sample {
  /** Milliseconds since the epoch. */
  readonly at: number
  /** Work that was admitted but no longer waits. Decreases where work that was stopped waits again. */
  readonly drained: WorkSize
}

/** Rates by account and queue; as many as there are of these with waiting work. */
export class DrainRates {
  private readonly admitted = new Map<string, WorkSize>()
  private readonly samples = new Map<string, Sample[]>()

  private constructor () {}

  /**
   * Creates the rates of a new leader, which knows none.
   * @returns the empty rates
   */
  static create (): DrainRates {
    return new DrainRates()
  }

  /** Records the admission of a job. */
  recordAdmission (key: string, size: WorkSize): void {
    this.admitted.set(key, addWork(this.admitted.get(key) ?? noWork, size))
  }

  /** Takes a sample of each account and queue; called about once a second. */
  observe (index: WaitingWorkIndex, now: number): void {
    for (const [key, waiting] of index) {
      const samples = this.samples.get(key) ?? []
      samples.push({ at: now, drained: addWork(this.admitted.get(key) ?? noWork, waiting, -1) })
      while (samples.length > 2 && (samples[1]?.at ?? now) <= now - WINDOW_MILLISECONDS) samples.shift()
      this.samples.set(key, samples)
    }
    for (const key of [...this.samples.keys(), ...this.admitted.keys()]) if (!index.has(key)) { this.samples.delete(key); this.admitted.delete(key) }
  }

  /** Work that drains per second; zero where it is not known. */
  perSecond (key: string): WorkSize {
    const samples = this.samples.get(key) ?? []
    const [first, last] = [samples[0], samples.at(-1)]
    if (first === undefined || last === undefined || last.at <= first.at) return noWork
    const { jobs, tasks, bytes } = addWork(last.drained, first.drained, -1)
    const seconds = (last.at - first.at) / 1_000
    return { jobs: Math.max(0, jobs / seconds), tasks: Math.max(0, tasks / seconds), bytes: Math.max(0, bytes / seconds) }
  }

  /** Forgets all rates. */
  clear (): void {
    this.admitted.clear()
    this.samples.clear()
  }
}
