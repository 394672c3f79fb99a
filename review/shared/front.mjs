/**
 * Stands before a worker on its host and passes calls on. The first start gets no answer: it is carried out late, by the
 * worker that is up then, like an order that waits in the network.
 */
import { createServer, request } from 'node:http'

const { address, worker, lateMilliseconds } = JSON.parse(process.argv[2])
let held = lateMilliseconds === 0

const part = (text) => { const at = text.lastIndexOf(':'); return { host: text.slice(0, at), port: Number(text.slice(at + 1)) } }

function pass (incoming, body, outgoing) {
  const call = request({ ...part(worker), method: incoming.method, path: incoming.url, headers: { ...incoming.headers, 'content-length': body.length }, agent: false }, (answer) => {
    if (outgoing === undefined) { answer.resume(); return }
    outgoing.writeHead(answer.statusCode ?? 502, { 'content-type': 'application/json' })
    answer.pipe(outgoing)
  })
  call.on('error', () => { outgoing?.destroy() })
  call.end(body)
}

async function respond (incoming, outgoing) {
  const parts = []
  for await (const piece of incoming) parts.push(piece)
  const body = Buffer.concat(parts)
  if (incoming.url !== '/run-start' || held) { pass(incoming, body, outgoing); return }
  held = true
  setTimeout(() => { pass(incoming, body, undefined) }, lateMilliseconds)
}

const { host, port } = part(address)
createServer((incoming, outgoing) => { respond(incoming, outgoing).catch(() => { outgoing.destroy() }) }).listen(port, host)
