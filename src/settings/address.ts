/** An IP address and a port. */
export interface Address {
  readonly ip: string
  readonly port: number
}

/**
 * Splits an address from the settings into IP address and port.
 * @param text - for example 10.0.0.1:7000 or [::1]:7000
 * @returns IP address and port
 */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return { ip: text.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(text.slice(colon + 1)) }
}
