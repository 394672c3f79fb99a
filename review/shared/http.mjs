/** A small HTTP client with a time limit: one connection for each request. */
import { request } from 'node:http'

/**
 * Sends a request.
 * @param {string} address IP address and port
 * @param {string} method the method
 * @param {string} path the path
 * @param {{ body?: object, headers?: object, timeout?: number }} options the body is sent as JSON
 * @returns {Promise<{ status: number, text: string, body: any }>} status 0 where there was no complete answer
 */
export async function send (address, method, path, { body, headers = {}, timeout = 1_000 } = {}) {
  const separator = address.lastIndexOf(':')
  const data = body === undefined ? undefined : Buffer.from(JSON.stringify(body))
  return await new Promise((resolve) => {
    const fail = (error) => { resolve({ status: 0, text: String(error?.code ?? error?.message ?? 'no answer'), body: undefined }) }
    const outgoing = request({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      method,
      path,
      agent: false,
      headers: { ...headers, ...data === undefined ? {} : { 'content-type': 'application/json', 'content-length': data.length } }
    }, (incoming) => {
      const parts = []
      incoming.on('data', (part) => { parts.push(part) })
      incoming.on('error', fail)
      incoming.on('end', () => {
        const text = Buffer.concat(parts).toString()
        let parsed
        try { parsed = JSON.parse(text) } catch { /* An empty answer. */ }
        clearTimeout(timer)
        resolve({ status: incoming.statusCode ?? 0, text, body: parsed })
      })
    })
    const timer = setTimeout(() => { fail({ code: 'timed out' }); outgoing.destroy() }, timeout)
    outgoing.on('error', (error) => { clearTimeout(timer); fail(error) })
    outgoing.end(data)
  })
}
