import { emptyDocument, type Document, type Section } from './document'
import type { SectionNumber } from './transaction'

/** Result of an update. */
export enum UpdateOutcome {
  /** Now in force, or the current number was confirmed. */
  InForce = 'in-force',
  /** Sent by a former leader, or older than the copy; the copy is unchanged. */
  Stale = 'stale',
  /** A change between the copy and this update is missing; the whole document must be requested. */
  Incomplete = 'incomplete'
}

/** An update that a leader sends: the whole document, changed sections, or a confirmation. */
export interface CopyUpdate {
  readonly term: number
  readonly number: number
  /** The numbers of all sections in force; may be empty if the whole document is sent. */
  readonly sections: readonly SectionNumber[]
  /** The changed sections as one JSON object, empty for a confirmation. */
  readonly sectionsJson: string
  /** The update contains all sections. */
  readonly whole: boolean
  /** How long the receiver may use its copy after this update. */
  readonly validMilliseconds: number
}

/** A process's copy of the operators' document. It never reverts to an older version. */
export class ConfigurationCopy {
  private currentDocument: Document = emptyDocument
  private currentNumber = 0
  private numbers: ReadonlyMap<string, number> = new Map()
  private highestTerm = 0
  private confirmedUntil = 0
  private isInitialized = false

  private constructor () {}

  /**
   * Creates an empty copy, unconfirmed until the first update.
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
   * Tells whether the copy may still be used.
   * @param now - milliseconds since the epoch
   * @returns false if no leader has confirmed it within its validity
   */
  isConfirmed (now: number): boolean {
    return this.isInitialized && now < this.confirmedUntil
  }

  /**
   * Applies an update from a leader.
   * @param update - the changed sections, or a confirmation of the same number
   * @param now - milliseconds since the epoch
   * @returns the result
   */
  applyUpdate (update: CopyUpdate, now: number): UpdateOutcome {
    if (update.term < this.highestTerm || update.number < this.currentNumber) return UpdateOutcome.Stale
    const sections = update.sectionsJson === '' ? {} : JSON.parse(update.sectionsJson) as Partial<Document>
    if (!update.whole && !this.isContiguous(update, sections)) return UpdateOutcome.Incomplete
    this.highestTerm = update.term
    this.currentDocument = { ...(update.whole ? emptyDocument : this.currentDocument), ...sections }
    this.currentNumber = update.number
    this.numbers = new Map(update.sections.map(({ section, number }) => [section, number]))
    this.isInitialized = true
    this.confirmedUntil = now + update.validMilliseconds
    return UpdateOutcome.InForce
  }

  /** Every section that the update does not contain must have the same number as in this copy. */
  private isContiguous (update: CopyUpdate, sections: Partial<Document>): boolean {
    if (!this.isInitialized) return false
    if (update.number === this.currentNumber) return true
    return update.sections.length > 0 && update.sections.every(({ section, number }) => (
      sections[section as Section] !== undefined || number === (this.numbers.get(section) ?? 0)))
  }
}
