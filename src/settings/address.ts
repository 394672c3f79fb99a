/** An IP number and a port. */
export interface Address {
  readonly ip: string
  readonly port: number
}

/**
 * Splits an address of the settings.
 * @param text - such as 10.0.0.1:7000 or [::1]:7000
 * @returns IP number and port
 */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { ip: text.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(text.slice(colon + 1)) }
}
