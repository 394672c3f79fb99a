/** Reads the JSON log lines that processes wrote, each possibly behind a prefix, and groups those on step jobs by job. */

/** A log line, with the fields that its event has. */
export interface LogLine {
  /** Milliseconds since the epoch. */
  readonly at: number
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Parses the lines of a log. Lines without a JSON object, and those that are cut off, are counted and left out.
 * @param text - the log
 * @returns the lines in the order of their times, and how many lines began an object that could not be read
 */
export function parseLog (text: string): { readonly lines: LogLine[], readonly unreadable: number } {
  const lines: LogLine[] = []
  let unreadable = 0
  for (const row of text.split('\n')) {
    const begin = row.indexOf('{"time"')
    if (begin < 0) continue
    const line = parseLine(row.slice(begin))
    if (line === undefined) unreadable += 1
    else lines.push(line)
  }
  return { lines: lines.sort((one, other) => one.at - other.at), unreadable }
}

function parseLine (json: string): LogLine | undefined {
  try {
    const { time, event, ...fields } = JSON.parse(json) as Record<string, unknown>
    return { at: Date.parse(String(time)), event: String(event), fields }
  } catch {
    return undefined
  }
}

/**
 * Groups the lines that name a job.
 * @param lines - the lines of a log
 * @returns the lines of each job, in the order of their times
 */
export function linesByJob (lines: readonly LogLine[]): Map<string, LogLine[]> {
  const byJob = new Map<string, LogLine[]>()
  for (const line of lines) {
    const { job } = line.fields
    if (typeof job !== 'string' || job === '') continue
    byJob.set(job, [...byJob.get(job) ?? [], line])
  }
  return byJob
}
