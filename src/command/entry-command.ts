import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { problemLines } from '../settings/problem-lines'
import { askEntry, jsonOf, type EntryAnswer, type EntryRefusal, type EntryRequest } from './entry-client'
import { ExitCode, exitCodeOf } from './exit-code'

const DEFAULT_ENTRY = '127.0.0.1:7000'

/** A wrong command line or local file; its message is shown. */
export class UsageProblem extends Error {}

/** A command that asks an entry. */
export abstract class EntryCommand extends Command {
  entry = Option.String('--entry', process.env.BRAMLEYFLOW_ENTRY ?? DEFAULT_ENTRY, {
    description: 'address of an entry, also from BRAMLEYFLOW_ENTRY'
  })

  token = Option.String('--token', { description: 'bearer token, also from BRAMLEYFLOW_TOKEN' })

  json = Option.Boolean('--json', false, { description: 'print JSON' })

  /**
   * Sends the command's requests and prints what comes back.
   * @returns the exit code
   */
  protected abstract run (): Promise<ExitCode>

  /**
   * Runs the command, and puts a wrong command line into one line.
   * @returns the exit code
   */
  async execute (): Promise<ExitCode> {
    try {
      return await this.run()
    } catch (error) {
      if (!(error instanceof UsageProblem)) throw error
      this.complain(error.message)
      return ExitCode.Usage
    }
  }

  /**
   * Asks the entry.
   * @param request - what to send
   * @param use - what to do with the answer
   * @returns the exit code
   */
  protected async ask (request: EntryRequest, use: (answer: EntryAnswer) => ExitCode | Promise<ExitCode>): Promise<ExitCode> {
    const token = this.token ?? process.env.BRAMLEYFLOW_TOKEN
    const result = await askEntry({ entry: this.entry, token }, request)
    return result.isOk() ? await use(result.value) : this.refused(result.error)
  }

  /**
   * Asks the entry and prints its JSON, as it is or in lines for a person.
   * @param request - what to send
   * @param lines - the lines for a person
   * @returns the exit code
   */
  protected show<Value> (request: EntryRequest, lines: (value: Value) => string[]): Promise<ExitCode> {
    return this.ask(request, (answer) => {
      const value = jsonOf<Value>(answer)
      this.print(value, () => lines(value))
      return ExitCode.Done
    })
  }

  /**
   * Prints a value as JSON or in lines.
   * @param value - printed with --json
   * @param lines - printed without it
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
  protected refused (refusal: EntryRefusal): ExitCode {
    const { code, message, verdict, retryCanHelp, retryAfter, problems = [], identifier, numbers } = refusal
    if (this.json) this.context.stdout.write(`${JSON.stringify(refusal)}\n`)
    else {
      this.complain(`${code}: ${message} (${verdict}${retryCanHelp ? `, try again after ${retryAfter} ms` : ''})`)
      for (const line of problemLines(problems)) this.complain(`  ${line}`)
      if (numbers !== undefined) this.complain(`  numbers now: ${JSON.stringify(numbers)}`)
      if (identifier !== undefined) this.complain(`  job: ${identifier}`)
    }
    return exitCodeOf(verdict)
  }

  /**
   * Writes a line to standard error.
   * @param line - the line
   */
  protected complain (line: string): void {
    this.context.stderr.write(`${line}\n`)
  }
}

/**
 * Reads a local JSON file.
 * @param path - the file, - for standard input
 * @returns the parsed value; throws {@link UsageProblem}
 */
export async function readJsonFile (path: string): Promise<unknown> {
  const text = await readTextFile(path)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new UsageProblem(`${path} is not JSON: ${(error as Error).message}`)
  }
}

/**
 * Reads a local file.
 * @param path - the file, - for standard input
 * @returns its text; throws {@link UsageProblem}
 */
export async function readTextFile (path: string): Promise<string> {
  try {
    if (path !== '-') return await readFile(path, 'utf8')
    const chunks: Buffer[] = []
    for await (const chunk of process.stdin) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks).toString()
  } catch (error) {
    throw new UsageProblem(`cannot read ${path}: ${(error as Error).message}`)
  }
}

/**
 * Reads a whole number of an option.
 * @param name - the option's name
 * @param text - its value, undefined where it was not given
 * @returns the number; throws {@link UsageProblem}
 */
export function wholeNumber (name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw new UsageProblem(`${name} takes a whole number, not ${JSON.stringify(text)}`)
  return Number(text)
}

/**
 * Puts rows into aligned columns.
 * @param rows - the cells of each row, the heading first
 * @returns one line for each row
 */
export function table (rows: ReadonlyArray<ReadonlyArray<string | number>>): string[] {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, column) => { widths[column] = Math.max(widths[column] ?? 0, String(cell).length) })
  return rows.map((row) => row.map((cell, column) => String(cell).padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
