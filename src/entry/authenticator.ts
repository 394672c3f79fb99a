import { createHash, timingSafeEqual } from 'node:crypto'
import type { Document, Section } from '../core/document'

/** Kinds of principal that a token can identify. */
export enum PrincipalKind {
  Caller = 'caller',
  Operator = 'operator'
}

/** A caller, which acts for one client account. */
export interface Caller {
  readonly kind: PrincipalKind.Caller
  readonly account: string
}

/** An operator, who belongs to a team and may write that team's sections. */
export interface Operator {
  readonly kind: PrincipalKind.Operator
  readonly team: string
  readonly sections: readonly Section[]
}

/** The authenticated sender of a request. */
export type Principal = Caller | Operator

/** Team name recorded as the author of changes made with the bootstrap token. */
export const BOOTSTRAP_TEAM = 'bootstrap'

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i

/**
 * Hashes the bearer token in an Authorization header.
 * @param header - the header's value
 * @returns SHA-256 of the token, undefined when the header carries none
 */
export function tokenDigest (header: string | undefined): Buffer | undefined {
  const token = header?.match(BEARER)?.[1]
  return token === undefined ? undefined : createHash('sha256').update(token).digest()
}

const BASIC = /^Basic ([A-Za-z0-9+/=]{1,1024})$/i

/**
 * Converts HTTP Basic credentials, which a browser's password prompt sends, to a bearer header. The password is the token.
 * @param header - the Authorization header
 * @returns the equivalent bearer header; any other header unchanged
 */
export function bearerFromBasicAuth (header: string | undefined): string | undefined {
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

/** Authenticates requests against the tokens in the current document. */
export class Authenticator {
  private document: Document | undefined
  private tokens: readonly KnownToken[] = []
  private readonly bootstrapDigest: Buffer | undefined

  private constructor (bootstrapTokenDigest: string | undefined) {
    this.bootstrapDigest = bootstrapTokenDigest === undefined ? undefined : Buffer.from(bootstrapTokenDigest, 'hex')
  }

  /**
   * Creates an authenticator.
   * @param bootstrapTokenDigest - SHA-256 of the token that may write the first document, in hexadecimal
   * @returns the authenticator
   */
  static create (bootstrapTokenDigest?: string): Authenticator {
    return new Authenticator(bootstrapTokenDigest)
  }

  /**
   * Finds the owner of a token. Compares with every known token, each in constant time, to leak nothing through timing.
   * @param header - the Authorization header
   * @param document - the current document
   * @returns the owner, undefined when the token is missing or unknown
   */
  authenticate (header: string | undefined, document: Document): Principal | undefined {
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

  /** The bootstrap token is accepted only while the document has no teams. */
  private bootstrapPrincipal (digest: Buffer, document: Document): Principal | undefined {
    if (document.teams.length > 0 || this.bootstrapDigest === undefined) return undefined
    if (!timingSafeEqual(this.bootstrapDigest, digest)) return undefined
    return { kind: PrincipalKind.Operator, team: BOOTSTRAP_TEAM, sections: [] }
  }
}
