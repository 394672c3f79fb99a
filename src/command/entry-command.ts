import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { problemLines } from '../settings/problem-lines'
import { requestEntry, parseJsonBody, type EntryAnswer, type EntryRefusal, type EntryRequest } from './entry-client'
import { ExitCode, exitCodeOf } from './exit-code'

const DEFAULT_ENTRY = '127.0.0.1:7000'

/** An invalid command line or local file. The message is shown to the user. */
export class UsageError extends Error {}

/** A command that sends requests to an entry. */
export abstract class EntryCommand extends Command {
  entry = Option.String('--entry', process.env.BRAMLEYFLOW_ENTRY ?? DEFAULT_ENTRY, {
    description: 'address of an entry; by default from BRAMLEYFLOW_ENTRY'
  })

  token = Option.String('--token', { description: 'bearer token; by default from BRAMLEYFLOW_TOKEN' })

  json = Option.Boolean('--json', false, { description: 'print JSON' })

  /**
   * Sends the command's requests and prints the answers.
   * @returns the exit code
   */
  protected abstract run (): Promise<ExitCode>

  /**
   * Runs the command. Reports a {@link UsageError} in one line.
   * @returns the exit code
   */
  async execute (): Promise<ExitCode> {
    try {
      return await this.run()
    } catch (error) {
      if (!(error instanceof UsageError)) throw error
      this.printError(error.message)
      return ExitCode.Usage
    }
  }

  /**
   * Sends a request to the entry.
   * @param request - the request
   * @param handleAnswer - processes the answer
   * @returns the exit code
   */
  protected async sendRequest (request: EntryRequest, handleAnswer: (answer: EntryAnswer) => ExitCode | Promise<ExitCode>): Promise<ExitCode> {
    const token = this.token ?? process.env.BRAMLEYFLOW_TOKEN
    const result = await requestEntry({ entry: this.entry, token }, request)
    return result.isOk() ? await handleAnswer(result.value) : this.printRefusal(result.error)
  }

  /**
   * Sends a request and prints the JSON answer, unchanged with --json, else as text.
   * @param request - the request
   * @param lines - formats the answer as lines of text
   * @returns the exit code
   */
  protected show<Value> (request: EntryRequest, lines: (value: Value) => string[]): Promise<ExitCode> {
    return this.sendRequest(request, (answer) => {
      const value = parseJsonBody<Value>(answer)
      this.print(value, () => lines(value))
      return ExitCode.Done
    })
  }

  /**
   * Prints a value as JSON or as text.
   * @param value - printed with --json
   * @param lines - printed without --json
   */
  protected print (value: unknown, lines: () => string[]): void {
    const text = this.json ? JSON.stringify(value) : lines().join('\n')
    if (text !== '') this.context.stdout.write(`${text}\n`)
  }

  /**
   * Prints a refusal.
   * @param refusal - what was refused and why
   * @returns the exit code of its verdict
   */
  protected printRefusal (refusal: EntryRefusal): ExitCode {
    const { code, message, verdict, retryCanHelp, retryAfter, problems = [], identifier, numbers } = refusal
    if (this.json) this.context.stdout.write(`${JSON.stringify(refusal)}\n`)
    else {
      this.printError(`${code}: ${message} (${verdict}${retryCanHelp ? `, retry after ${retryAfter} ms` : ''})`)
      for (const line of problemLines(problems)) this.printError(`  ${line}`)
      if (numbers !== undefined) this.printError(`  current section numbers: ${JSON.stringify(numbers)}`)
      if (identifier !== undefined) this.printError(`  job: ${identifier}`)
    }
    return exitCodeOf(verdict)
  }

  /**
   * Writes a line to standard error.
   * @param line - the line
   */
  protected printError (line: string): void {
    this.context.stderr.write(`${line}\n`)
  }
}

/**
 * Reads a local JSON file.
 * @param path - the file, - for standard input
 * @returns the parsed value; throws {@link UsageError}
 */
export async function readJsonFile (path: string): Promise<unknown> {
  return parseJsonText(path, await readTextFile(path))
}

/**
 * Parses the text of a local JSON file.
 * @param path - the file
 * @param text - its text
 * @returns the parsed value; throws {@link UsageError}
 */
export function parseJsonText (path: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new UsageError(`${path} is not valid JSON: ${(error as Error).message}`)
  }
}

/**
 * Reads a local file.
 * @param path - the file, - for standard input
 * @returns its text; throws {@link UsageError}
 */
export async function readTextFile (path: string): Promise<string> {
  try {
    if (path !== '-') return await readFile(path, 'utf8')
    const chunks: Buffer[] = []
    for await (const chunk of process.stdin) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks).toString()
  } catch (error) {
    throw new UsageError(`cannot read ${path}: ${(error as Error).message}`)
  }
}

/**
 * Parses the value of an option as a non-negative integer.
 * @param name - the option's name
 * @param text - its value, undefined when the option was not given
 * @returns the number; throws {@link UsageError}
 */
export function wholeNumber (name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw new UsageError(`${name} expects a whole number, not ${JSON.stringify(text)}`)
  return Number(text)
}

/**
 * Formats rows as aligned columns.
 * @param rows - the cells of each row, the header first
 * @returns one line for each row
 */
export function table (rows: ReadonlyArray<ReadonlyArray<string | number>>): string[] {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, String(cell).length) })
  return rows.map((row) => row.map((cell, column) => String(cell).padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
