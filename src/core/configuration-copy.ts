import { emptyDocument, type Document, type Section } from './document'
import type { SectionNumber } from './transaction'

/** What became of an update. */
export enum UpdateOutcome {
  /** In force from now on, or the same number confirmed again. */
  InForce = 'in-force',
  /** From an older leader or of an older configuration; nothing was changed. */
  Stale = 'stale',
  /** A change between this update and the copy never came; the whole document must be asked for. */
  Incomplete = 'incomplete'
}

/** What a leader sends of the document. */
export interface CopyUpdate {
  readonly term: number
  readonly number: number
  /** The numbers of all sections in force; may be empty where the whole document is sent. */
  readonly sections: readonly SectionNumber[]
  /** The changed sections as one JSON object, empty for a confirmation. */
  readonly sectionsJson: string
  /** All sections are in it. */
  readonly whole: boolean
  /** How long the receiver may decide with its copy from now on. */
  readonly validMilliseconds: number
}

/** The copy of the operators' document that a process decides with. It never goes back to an older one. */
export class ConfigurationCopy {
  private currentDocument: Document = emptyDocument
  private currentNumber = 0
  private numbers: ReadonlyMap<string, number> = new Map()
  private highestTerm = 0
  private confirmedUntil = 0
  private known = false

  private constructor () {}

  /**
   * Makes a copy that knows nothing yet and decides nothing.
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
  take (update: CopyUpdate, now: number): UpdateOutcome {
    if (update.term < this.highestTerm || update.number < this.currentNumber) return UpdateOutcome.Stale
    const sections = update.sectionsJson === '' ? {} : JSON.parse(update.sectionsJson) as Partial<Document>
    if (!update.whole && !this.follows(update, sections)) return UpdateOutcome.Incomplete
    this.highestTerm = update.term
    this.currentDocument = { ...(update.whole ? emptyDocument : this.currentDocument), ...sections }
    this.currentNumber = update.number
    this.numbers = new Map(update.sections.map(({ section, number }) => [section, number]))
    this.known = true
    this.confirmedUntil = now + update.validMilliseconds
    return UpdateOutcome.InForce
  }

  /** Every section that the update does not carry must have the number that this copy has. */
  private follows (update: CopyUpdate, sections: Partial<Document>): boolean {
    if (!this.known) return false
    if (update.number === this.currentNumber) return true
    return update.sections.length > 0 && update.sections.every(({ section, number }) => (
      sections[section as Section] !== undefined || number === (this.numbers.get(section) ?? 0)))
  }
}
