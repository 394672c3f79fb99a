import { Command, Option } from 'clipanion'
import { ExitCode } from './exit-code'
import type { RunningRole } from './roles'
import type { Settings } from '../settings/index'
import { SettingsWatch } from './settings-watch'

/** Stops everything that runs in this process, once; says what each role left. */
class Shutdown {
  private ending: Promise<ExitCode> | undefined
  private readonly pending = new Set<RunningRole>()

  constructor (private readonly roles: readonly RunningRole[], private readonly say: (line: string) => void) {}

  /** The first call stops gracefully; the second one ends at once. */
  signal (): Promise<ExitCode> {
    if (this.ending === undefined) {
      this.ending = this.stopAll()
      return this.ending
    }
    for (const { role } of this.pending) this.say(`${role}: ended before its stop was over`)
    return Promise.resolve(ExitCode.LeftBehind)
  }

  private async stopAll (): Promise<ExitCode> {
    for (const role of this.roles) this.pending.add(role)
    let code = ExitCode.Done
    for (const role of [...this.roles].reverse()) {
      const left = await this.stopOne(role)
      for (const line of left) this.say(`${role.role}: ${line}`)
      if (left.length > 0) code = ExitCode.LeftBehind
    }
    return code
  }

  private async stopOne (role: RunningRole): Promise<readonly string[]> {
    const { stopDeadlineMilliseconds } = role
    let timer: NodeJS.Timeout | undefined
    const late = new Promise<readonly string[]>((resolve) => {
      timer = setTimeout(() => resolve(['ended at its deadline']), stopDeadlineMilliseconds + GRACE_MILLISECONDS)
    })
    const left = await Promise.race([role.stop(stopDeadlineMilliseconds), late])
    clearTimeout(timer)
    this.pending.delete(role)
    return left
  }
}

/** Names the settings file where the command line does not. */
const SETTINGS_VARIABLE = 'BRAMLEYFLOW_CONFIG'

const stopSignals = ['SIGTERM', 'SIGINT'] as const

/** Time over a role's deadline for closing its sockets and files. */
const GRACE_MILLISECONDS = 2_000

/** Runs the roles of a settings file. */
export class Serve extends Command {
  static override paths = [['serve']]
  static override usage = Command.Usage({
    description: 'run the roles that a settings file names',
    details: `
      SIGTERM and SIGINT stop gracefully: entries finish what is open, agents let tasks finish or checkpoint,
      control hands its leadership over. A second signal ends at once and says what was left.
    `,
    examples: [['Everything in one process', '$0 serve --settings examples/laptop.json'], ['Only look at the settings', '$0 serve --settings FILE --check']]
  })

  settings = Option.String('--settings', { env: SETTINGS_VARIABLE, description: `the settings file; by default the one that ${SETTINGS_VARIABLE} names` })
  check = Option.Boolean('--check', false, { description: 'check the settings and end' })

  async execute (): Promise<ExitCode> {
    const { loadSettings, problemLines } = await import('../settings/index')
    if (this.settings === undefined) {
      this.complain(`no settings file: give one with --settings or in ${SETTINGS_VARIABLE}`)
      return ExitCode.CannotStart
    }
    const loaded = await loadSettings(this.settings)
    if (loaded.isErr()) {
      for (const line of problemLines(loaded.error)) this.complain(line)
      return ExitCode.CannotStart
    }
    if (this.check) {
      this.context.stdout.write(`${this.settings}: the settings are valid for ${loaded.value.roles.join(', ')}\n`)
      return ExitCode.Done
    }
    return this.serve(loaded.value, this.settings)
  }

  private async serve (settings: Settings, path: string): Promise<ExitCode> {
    const running: RunningRole[] = []
    const watch = SettingsWatch.create(path, (fresh) => { for (const role of running) role.reload?.(fresh) }, (line) => { this.complain(line) })
    const shutdown = new Shutdown(running, (line) => this.complain(line))
    const ended = new Promise<ExitCode>((resolve) => {
      const onSignal = (): void => { shutdown.signal().then(resolve, (error: Error) => resolve(this.failed('stop', error))) }
      for (const signal of stopSignals) process.on(signal, onSignal)
    })
    try {
      await startAll(settings, running)
      watch.start()
    } catch (error) {
      await shutdown.signal()
      return this.failed('start', error as Error)
    }
    const code = await ended
    watch.stop()
    return code
  }

  private failed (what: string, error: Error): ExitCode {
    this.complain(`cannot ${what}: ${error.message}`)
    return ExitCode.CannotStart
  }

  private complain (line: string): void {
    this.context.stderr.write(`${line}\n`)
  }
}

async function startAll (settings: Settings, running: RunningRole[]): Promise<void> {
  const { readTls } = await import('../settings/index')
  const { startOrder, startRole } = await import('./roles')
  const tls = await readTls(settings.tls)
  const start = settings.deployment === undefined ? startRole : (await import('./deployed-roles')).startDeployedRole
  for (const role of startOrder) {
    if (settings.roles.includes(role)) running.push(await start[role](settings, tls))
  }
}
