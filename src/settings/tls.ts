import { readFile } from 'node:fs/promises'
import type { TlsSettings } from './schema'

/** Contents of the certificate files. */
export interface TlsFiles {
  readonly certificate: Buffer
  readonly key: Buffer
  readonly authority: Buffer
}

/**
 * Reads the certificate files.
 * @param settings - their paths; undefined for connections without TLS
 * @returns their contents; undefined for connections without TLS
 */
export async function readTls (settings: TlsSettings | undefined): Promise<TlsFiles | undefined> {
  if (settings === undefined) return undefined
  const [certificate, key, authority] = await Promise.all([
    readFile(settings.certificate), readFile(settings.key), readFile(settings.authority)
  ])
  return { certificate, key, authority }
}
