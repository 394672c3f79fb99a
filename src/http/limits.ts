/** The limits of HTTP servers: the kinds, their defaults, and those that follow from the size of the process. */

/** What a limit refuses or closes. */
export enum LimitKind {
  /** Header fields over their size. */
  HeaderSize = 'header-size',
  /** Header fields that are not complete in time. */
  HeaderTime = 'header-time',
  /** A body over its size. */
  BodySize = 'body-size',
  /** A body with too many values or too deep nesting. */
  BodyFields = 'body-fields',
  /** A body in too many pieces. */
  Pieces = 'pieces',
  /** A body that comes in more slowly than the minimum rate. */
  SlowSender = 'slow-sender',
  /** A response that is read more slowly than the minimum rate. */
  SlowReader = 'slow-reader',
  /** A connection without a request. */
  Idle = 'idle',
  /** Requests sent ahead of unread responses. */
  Pipelining = 'pipelining',
  /** The bytes that all connections of the process hold together. */
  Memory = 'memory',
  /** The connections of a server. */
  Connections = 'connections',
  /** The rest of a body that was refused. */
  Remainder = 'remainder',
  /** A complete request whose client had closed its connection before it was handled. */
  Abandoned = 'abandoned'
}

/** Limits of the requests to one server. */
export interface RequestLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Time for the header fields of a request, in milliseconds. */
  readonly headerTimeoutMilliseconds: number
  /** Time for which a connection without a request stays open, in milliseconds. */
  readonly idleTimeoutMilliseconds: number
}

/** Limits of one process. */
export interface ProcessLimits {
  /** Bytes of requests and unread responses that all connections may hold together. */
  readonly heldBytes: number
  /** Connections of all servers together. */
  readonly connections: number
}

const BYTES_PER_MEGABYTE = 1_048_576
/** Memory that is assumed where the settings state none, in megabytes: hosts outside the users' platform have more. */
const DEFAULT_MEMORY_MEGABYTES = 1_024
/**
 * Share of the memory for requests that are being received or handled. A body is held up to three times: as received, as
 * text, and as the message to the leader. The rest is for the program itself, which takes up to 70 MB.
 */
const HELD_SHARE = 1 / 8
/** The least for held bytes, so that a document of 4 MiB and other requests fit at the same time. */
const MIN_HELD_BYTES = 8 * BYTES_PER_MEGABYTE
/** Connections per megabyte: an idle connection takes about 20 KB, and up to 16 KB of header fields. */
const CONNECTIONS_PER_MEGABYTE = 8
/** Share of the descriptors for connections of HTTP servers; files and connections to other processes use the rest. */
const CONNECTION_SHARE = 0.8
/** Descriptors that are assumed where neither the settings nor the system state a number. */
const DEFAULT_DESCRIPTORS = 1_024

/**
 * Computes the limits of a process.
 * @param memoryMegabytes - memory of the host; undefined where it is not known
 * @param descriptors - descriptors that the process may open; undefined where it is not known
 * @returns the limits
 */
export function processLimitsOf (memoryMegabytes = DEFAULT_MEMORY_MEGABYTES, descriptors = DEFAULT_DESCRIPTORS): ProcessLimits {
  return {
    heldBytes: Math.max(MIN_HELD_BYTES, Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * HELD_SHARE)),
    connections: Math.floor(Math.min(descriptors * CONNECTION_SHARE, memoryMegabytes * CONNECTIONS_PER_MEGABYTE))
  }
}

/** Body bytes that are received before it is known whether the request may be made at all. */
export const UNCHECKED_BODY_BYTES = 32_768
/** The same while more than half of the held bytes are in use. */
export const UNCHECKED_BODY_BYTES_UNDER_PRESSURE = 4_096
/**
 * Pieces of a body: a piece costs about as much processor time however small it is, so a body of 262,144 bytes in chunks
 * of one byte takes a second or more.
 */
export const MAX_PIECES = 8_192
/** Requests that a connection may send ahead of the response to the first of them. */
export const MAX_PIPELINED_REQUESTS = 32
/** Bytes that a request is assumed to take apart from its header fields and its body. */
export const REQUEST_BYTES = 8_192
/**
 * Time for which a complete body counts, in milliseconds. By then it has been sent to the leader or given up, although the
 * response may take longer.
 */
export const BODY_MILLISECONDS = 10_000
/** Lowest rate at which a body or a response moves, in bytes per second: half of what a slow connection reaches. */
export const MIN_BYTES_PER_SECOND = 4_096
/** Time over which the rate of a body is measured, in milliseconds: a pause of half of it is no fault. */
export const RATE_WINDOW_MILLISECONDS = 5_000
/** Time for which the rest of a refused body is discarded, so that the client can read the response, in milliseconds. */
export const REMAINDER_MILLISECONDS = 2_000
/**
 * Connections of a process whose rest is discarded at the same time; others are closed at once. What is discarded takes
 * memory until the next garbage collection: a crowd of 400 bodies of 262,134 bytes took 50 MB.
 */
export const MAX_REMAINDERS = 8
/** Declared size of a body above which its rest is not discarded, in bytes: 40 bodies of 4 MB at once took another 50 MB. */
export const MAX_REMAINDER_BYTES = 1_048_576
