/** Formats of documents that `configuration check` reads. Loaded only by that command, for its packages. */
import { ok, type Result } from 'neverthrow'
import { decodeDocument, isPlatformDocument, platformPath } from '../../platform/document'
import type { CheckedDocument } from '../core/document-check/index'
import { parseJson } from '../core/json-text'
import { checkQueueDocument } from '../core/steps/document'
import type { Problem } from '../core/verdict'

/** A format of a document. */
export enum DocumentFormat {
  /** Sections of the operators' document. */
  Sections = 'sections',
  /** The queue document, alone or with its number as it is put. */
  Queues = 'queues',
  /** The queue document in the format of the users' platform. */
  Platform = 'platform'
}

/**
 * Recognizes the format of a document.
 * @param value - the parsed document
 * @returns the format; sections where it is none of the others
 */
export function formatOf (value: unknown): DocumentFormat {
  if (isPlatformDocument(value)) return DocumentFormat.Platform
  return hasField(value, 'queues') || isNumbered(value) ? DocumentFormat.Queues : DocumentFormat.Sections
}

/** A way to read a queue document. */
interface QueueReader {
  readonly read: (text: string) => Result<CheckedDocument, Problem[]>
  /** Translates a path in the decoded document to one in the text. */
  readonly pathOf: (path: string, value: unknown) => string
}

const readers: Readonly<Record<DocumentFormat.Queues | DocumentFormat.Platform, QueueReader>> = {
  [DocumentFormat.Queues]: {
    read: (text) => parseJson(text).andThen((value) => {
      if (isNumbered(value)) return checkQueueDocument(value.document).andThen((document) => ok({ number: value.number, document }))
      return checkQueueDocument(value).map((document) => ({ document }))
    }),
    pathOf: (path, value) => isNumbered(value) && path !== '/number' ? `/document${path}` : path
  },
  [DocumentFormat.Platform]: { read: (text) => decodeDocument(Buffer.from(text)), pathOf: platformPath }
}

/**
 * Decodes a queue document.
 * @param format - its format
 * @param text - its text
 * @returns the document, or its problems with their paths in the text
 */
export function readQueues (format: DocumentFormat.Queues | DocumentFormat.Platform, text: string): Result<CheckedDocument, Problem[]> {
  return readers[format].read(text).mapErr((problems) => problems.map((problem) => ({ ...problem, path: pathInText(format, text, problem.path) })))
}

/**
 * Translates a path in a decoded queue document.
 * @param format - the format of its text
 * @param text - its text
 * @param path - the path
 * @returns the path in the text
 */
export function pathInText (format: DocumentFormat.Queues | DocumentFormat.Platform, text: string, path: string): string {
  return readers[format].pathOf(path, parseJson(text).unwrapOr(undefined))
}

function hasField (value: unknown, name: string): boolean {
  return typeof value === 'object' && value !== null && name in value
}

function isNumbered (value: unknown): value is { readonly number: number, readonly document: unknown } {
  return hasField(value, 'document') && hasField(value, 'number') && Number.isSafeInteger((value as { readonly number: unknown }).number)
}
