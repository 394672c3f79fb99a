import { emptyDocument, type Document } from '../core/document'
import type { ConfigurationUpdate } from '../wire/index'

/** What became of an update. */
export enum UpdateOutcome {
  /** In force from now on, or the same number confirmed again. */
  InForce = 'in-force',
  /** From an older leader or of an older configuration; nothing was changed. */
  Stale = 'stale'
}

/** The copy of the operators' document that an entry decides with. It never goes back to an older one. */
export class ConfigurationCopy {
  private currentDocument: Document = emptyDocument
  private currentNumber = 0
  private highestTerm = 0
  private confirmedUntil = 0
  private known = false

  private constructor () {}

  /**
   * Makes a copy that knows nothing yet.
   * @returns the copy
   */
  static create (): ConfigurationCopy {
    return new ConfigurationCopy()
  }

  /** The document in force. */
  get document (): Document { return this.currentDocument }

  /** The number of the document in force. */
  get number (): number { return this.currentNumber }

  /** The highest term seen from a leader. */
  get term (): number { return this.highestTerm }

  /**
   * Tells whether the copy may still be used to decide.
   * @param now - milliseconds since the epoch
   * @returns false where no leader has confirmed it in time
   */
  isConfirmed (now: number): boolean {
    return this.known && now < this.confirmedUntil
  }

  /**
   * Takes an update from a leader.
   * @param update - the changed sections, or a confirmation of the same number
   * @param now - milliseconds since the epoch
   * @returns whether it is in force
   */
  take (update: ConfigurationUpdate, now: number): UpdateOutcome {
    if (update.term < this.highestTerm || update.number < this.currentNumber) return UpdateOutcome.Stale
    if (!this.known && !update.whole) return UpdateOutcome.Stale
    this.highestTerm = update.term
    if (update.sectionsJson !== '') {
      const sections = JSON.parse(update.sectionsJson) as Partial<Document>
      this.currentDocument = { ...(update.whole ? emptyDocument : this.currentDocument), ...sections }
    }
    this.currentNumber = update.number
    this.known = true
    this.confirmedUntil = now + update.validMilliseconds
    return UpdateOutcome.InForce
  }
}
