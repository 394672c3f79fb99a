import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Bytes that one connection sends, in pieces; it then stays open. */
type Pieces = readonly Buffer[]

interface Crowd {
  readonly connections: number
  /** Reads no response. */
  readonly deaf?: boolean
  readonly pieces: (head: string) => Pieces
}

/** One byte short of the limit of a body, in bytes. */
const LEGAL_BYTES = 262_134
const body = Buffer.alloc(4 * 1_048_576, ' ')
const jsonOf = (fill: (index: number) => string, open: string, close: string): Buffer => {
  const parts: string[] = []
  let length = open.length + close.length
  for (let index = 0; ; index++) {
    const part = fill(index)
    if (length + part.length + 1 > LEGAL_BYTES) return Buffer.from(open + parts.join(',') + close)
    parts.push(part)
    length += part.length + 1
  }
}
const manyFields = jsonOf((index) => `"${index.toString(36)}":0`, '{', '}')
const manySteps = jsonOf(() => '{"count":1}', '{"spec":"","phases":[', ']}')
const repeat = (text: string, times: number): Buffer => Buffer.from(text.repeat(times))
const oneByteChunks = repeat('1\r\n \r\n', LEGAL_BYTES)
const complete = (head: string, content: Buffer): Pieces => [Buffer.from(`${head}content-length: ${content.length}\r\n\r\n`), content]
const slices = (content: Buffer, size: number): Buffer[] => Array.from({ length: Math.ceil(content.length / size) }, (_, index) => content.subarray(index * size, (index + 1) * size))

/** The kinds of misbehaviour. The number of connections is what the code without limits could not hold within the bounds. */
export const crowds = {
  'bodies of legal size that stop short of the end': {
    connections: 400, pieces: (head) => [Buffer.from(`${head}content-length: 262144\r\n\r\n`), body.subarray(0, LEGAL_BYTES)]
  },
  'bodies of legal size in small pieces that stop short of the end': {
    connections: 400, pieces: (head) => [Buffer.from(`${head}content-length: 262144\r\n\r\n`), ...slices(body.subarray(0, LEGAL_BYTES), 16_384)]
  },
  'bodies in chunks of one byte': {
    connections: 100, pieces: (head) => [Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`), oneByteChunks]
  },
  'bodies far over the limit': {
    connections: 40, pieces: (head) => [Buffer.from(`${head}content-length: ${body.length}\r\n\r\n`), body.subarray(0, body.length - 10)]
  },
  'bodies of many short fields': { connections: 100, pieces: (head) => complete(head, manyFields) },
  'bodies of very many steps': { connections: 100, pieces: (head) => complete(head, manySteps) },
  'pipelined requests without a reader': {
    connections: 60, deaf: true, pieces: (head) => [repeat(`${head.replace(/^\w+/, 'GET')}\r\n`, 4_000)]
  },
  'connections that send nothing or stop within the headers': {
    connections: 700, pieces: (head) => [Buffer.from(head.slice(0, 20))]
  }
} satisfies Readonly<Record<string, Crowd>>

export type CrowdName = keyof typeof crowds

/** Longest time for which a crowd keeps its connections open, in milliseconds. */
const MAX_CROWD_MILLISECONDS = 4_000
/** Time for which a crowd stays after it has sent everything, in milliseconds. */
const STAY_MILLISECONDS = 400

/**
 * Opens all connections of crowds at once, and closes them once everything was sent or refused and a pause has passed.
 * @param names - the kinds that come together
 * @param host - IP address
 * @param port - port
 * @param path - path of each request
 * @param key - the key that each request states
 */
export async function runCrowds (names: readonly CrowdName[], host: string, port: number, path: string, key: string): Promise<void> {
  const head = `POST ${path} HTTP/1.1\r\nhost: proofs.example\r\nauthorization: Token ${key}\r\ncontent-type: application/json\r\n`
  const sockets: Socket[] = []
  const sent = names.flatMap((name) => {
    const { connections, deaf = false, pieces }: Crowd = crowds[name]
    const content = pieces(head)
    return Array.from({ length: connections }, async () => {
      const socket = connect(port, host)
      sockets.push(socket)
      if (deaf) socket.pause()
      else socket.resume()
      await sendAll(socket, content)
    })
  })
  await Promise.race([Promise.all(sent), sleep(MAX_CROWD_MILLISECONDS)])
  await sleep(STAY_MILLISECONDS)
  for (const socket of sockets) socket.destroy()
}

async function sendAll (socket: Socket, pieces: Pieces): Promise<void> {
  const gone = new Promise<void>((resolve) => { socket.once('error', () => { resolve() }).once('close', () => { resolve() }) })
  for (const piece of pieces) {
    if (socket.destroyed) return
    await Promise.race([gone, new Promise<void>((resolve) => { socket.write(piece, () => { resolve() }) })])
  }
}
