import { createHash, timingSafeEqual } from 'node:crypto'
import type { Document, Section } from '../core/document'

/** Who may stand behind a token. */
export enum PrincipalKind {
  Caller = 'caller',
  Operator = 'operator'
}

/** A caller, bound to its client account. */
export interface Caller {
  readonly kind: PrincipalKind.Caller
  readonly account: string
}

/** An operator, bound to a team and so to its sections. */
export interface Operator {
  readonly kind: PrincipalKind.Operator
  readonly team: string
  readonly sections: readonly Section[]
}

/** Who sent a request. */
export type Principal = Caller | Operator

/** The team under which the first document is written. */
export const BOOTSTRAP_TEAM = 'bootstrap'

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i

/**
 * Digest of the token in an Authorization header.
 * @param header - the header's value
 * @returns SHA-256 of the token, undefined where there is none
 */
export function tokenDigest (header: string | undefined): Buffer | undefined {
  const token = header?.match(BEARER)?.[1]
  return token === undefined ? undefined : createHash('sha256').update(token).digest()
}

const BASIC = /^Basic ([A-Za-z0-9+/=]{1,1024})$/i

/**
 * Takes the token out of the password that a browser asks for, for the page alone.
 * @param header - the Authorization header
 * @returns the same as a bearer header; any other header unchanged
 */
export function bearerOfBrowser (header: string | undefined): string | undefined {
  const encoded = header?.match(BASIC)?.[1]
  if (encoded === undefined) return header
  const [, ...password] = Buffer.from(encoded, 'base64').toString().split(':')
  return `Bearer ${password.join(':')}`
}

interface KnownToken {
  readonly digest: Buffer
  readonly principal: Principal
}

function knownTokens (document: Document): KnownToken[] {
  const callers = document.clientAccounts.flatMap(({ name, tokens }) =>
    tokens.map((token): KnownToken => ({ digest: Buffer.from(token, 'hex'), principal: { kind: PrincipalKind.Caller, account: name } })))
  const operators = document.teams.flatMap(({ name, sections, tokens }) =>
    tokens.map((token): KnownToken => ({ digest: Buffer.from(token, 'hex'), principal: { kind: PrincipalKind.Operator, team: name, sections } })))
  return [...callers, ...operators]
}

/** Finds out who sent a request, from the document in force. */
export class Access {
  private document: Document | undefined
  private tokens: readonly KnownToken[] = []
  private readonly bootstrapDigest: Buffer | undefined

  private constructor (bootstrapTokenDigest: string | undefined) {
    this.bootstrapDigest = bootstrapTokenDigest === undefined ? undefined : Buffer.from(bootstrapTokenDigest, 'hex')
  }

  /**
   * Makes the check.
   * @param bootstrapTokenDigest - SHA-256 of the token that may write the first document, in hexadecimal
   * @returns the check
   */
  static create (bootstrapTokenDigest?: string): Access {
    return new Access(bootstrapTokenDigest)
  }

  /**
   * Finds the owner of a token. Every known token is compared, each in constant time.
   * @param header - the Authorization header
   * @param document - the document in force
   * @returns the owner, undefined where the token is missing or unknown
   */
  principalOf (header: string | undefined, document: Document): Principal | undefined {
    const digest = tokenDigest(header)
    if (digest === undefined) return undefined
    let found: Principal | undefined
    for (const known of this.knownTokens(document)) {
      if (timingSafeEqual(known.digest, digest)) found = known.principal
    }
    return found ?? this.bootstrapPrincipal(digest, document)
  }

  private knownTokens (document: Document): readonly KnownToken[] {
    if (this.document !== document) {
      this.document = document
      this.tokens = knownTokens(document)
    }
    return this.tokens
  }

  /** The bootstrap token counts only while the document has no teams. */
  private bootstrapPrincipal (digest: Buffer, document: Document): Principal | undefined {
    if (document.teams.length > 0 || this.bootstrapDigest === undefined) return undefined
    if (!timingSafeEqual(this.bootstrapDigest, digest)) return undefined
    return { kind: PrincipalKind.Operator, team: BOOTSTRAP_TEAM, sections: [] }
  }
}
