/**
 * Measures what mechanisms of the scheduling policy are worth, on generated loads in simulated time:
 * `npm run experiment -- --load NAME --without MECHANISM [--without ...] [--seeds N]
 * [--first-seed N]`. A constant is chosen on some seeds and measured on others. The policy in force and the policy
 * without each of the mechanisms run on the same arrivals; a row gives the difference that the mechanism makes.
 */
import { Cli, Command, Option } from 'clipanion'
import { err, ok, Result } from 'neverthrow'
import { Mechanism, policyWithout } from '../src/core/index'
import { loads, type LoadProfile } from './load-profiles'
import { StepLoadSimulation, type LoadResult } from './step-load-simulation'

/** Normal quantile of a two-sided confidence interval of 95 %. */
const CONFIDENCE_FACTOR = 1.96
const DEFAULT_SEEDS = '20'
/** A variance needs two values. */
const MIN_SEEDS = 2
const BAD_INPUT_EXIT_CODE = 2

/** What is compared, by its column title. */
const measures: Readonly<Record<string, (result: LoadResult) => number>> = {
  earned: ({ earned }) => earned,
  'worst kind': ({ byKind }) => Math.min(...Object.values(byKind)),
  'mean of accounts': ({ accountMean }) => accountMean,
  'worst account': ({ worstAccount }) => worstAccount,
  'worst windows': ({ worstWindow }) => worstWindow,
  'lost processor-seconds': ({ lostProcessorSeconds }) => lostProcessorSeconds,
  'processor-seconds lost to interference': ({ interferenceProcessorSeconds }) => interferenceProcessorSeconds,
  'late reclaims': ({ lateReclaims }) => lateReclaims
}

class ExperimentCommand extends Command {
  static override paths = [Command.Default]
  readonly load = Option.String('--load', { required: true })
  readonly without = Option.Array('--without', [])
  readonly seeds = Option.String('--seeds', DEFAULT_SEEDS)
  readonly firstSeed = Option.String('--first-seed', '1')

  async execute (): Promise<number> {
    const parameters = this.readParameters()
    if (parameters.isErr()) {
      this.context.stderr.write(`${parameters.error}\n`)
      return BAD_INPUT_EXIT_CODE
    }
    const { mechanisms } = parameters.value
    const inForce = simulate(parameters.value, [])
    this.context.stdout.write(`${rowOf('in force', (measure) => shown(mean(inForce.map(measure))))}\n`)
    for (const mechanism of mechanisms) {
      const without = simulate(parameters.value, [mechanism])
      this.context.stdout.write(`${rowOf(mechanism, (measure) => differenceOf(inForce.map(measure), without.map(measure)))}\n`)
    }
    return 0
  }

  private readParameters (): Result<Parameters, string> {
    const seeds = Number(this.seeds)
    if (!Number.isInteger(seeds) || seeds < MIN_SEEDS) return err(`--seeds: expected a whole number of at least ${MIN_SEEDS}, got ${this.seeds}`)
    const firstSeed = Number(this.firstSeed)
    if (!Number.isSafeInteger(firstSeed) || firstSeed < 1) return err(`--first-seed: expected a whole number of at least 1, got ${this.firstSeed}`)
    const mechanisms = Result.combine(this.without.map((name) => entryOf('--without', name, mechanismsByName)))
    return entryOf('--load', this.load, loads).andThen((load) => mechanisms.map((found) => ({ load, mechanisms: found, seeds, firstSeed })))
  }
}

interface Parameters {
  readonly load: LoadProfile
  readonly mechanisms: readonly Mechanism[]
  readonly seeds: number
  readonly firstSeed: number
}

const mechanismsByName: Readonly<Record<string, Mechanism>> = Object.fromEntries(Object.values(Mechanism).map((name) => [name, name]))

function entryOf<Entry> (option: string, name: string, entries: Readonly<Record<string, Entry>>): Result<Entry, string> {
  const entry = Object.hasOwn(entries, name) ? entries[name] : undefined
  return entry === undefined ? err(`${option}: unknown name "${name}"; known: ${Object.keys(entries).map((known) => `"${known}"`).join(', ')}`) : ok(entry)
}

function simulate ({ load, seeds, firstSeed }: Parameters, without: readonly Mechanism[]): LoadResult[] {
  const policy = policyWithout(without)
  return Array.from({ length: seeds }, (_, position) => StepLoadSimulation.create(load, firstSeed + position, policy).run())
}

function rowOf (title: string, cell: (measure: (result: LoadResult) => number) => string): string {
  return `${title}: ${Object.entries(measures).map(([name, measure]) => `${name} ${cell(measure)}`).join(', ')}`
}

/** The mean of the paired differences, with half the width of its confidence interval. */
function differenceOf (inForce: readonly number[], without: readonly number[]): string {
  const differences = inForce.map((value, seed) => value - (without[seed] ?? 0))
  const average = mean(differences)
  const variance = differences.reduce((sum, difference) => sum + (difference - average) ** 2, 0) / (differences.length - 1)
  return `${average < 0 ? '' : '+'}${shown(average)} ± ${shown(CONFIDENCE_FACTOR * Math.sqrt(variance / differences.length))}`
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function shown (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(3)
}

await Cli.from([ExperimentCommand], { binaryName: 'experiment' }).runExit(process.argv.slice(2))
