import { Command, Option } from 'clipanion'
import { ExitCode } from './exit-code'
import type { RunningRole } from './roles'
import type { Settings } from '../settings/index'
import { SettingsWatcher } from './settings-watcher'

/** Stops all roles of this process once, and prints the work that each role left unfinished. */
class Shutdown {
  private stopping: Promise<ExitCode> | undefined
  private readonly pending = new Set<RunningRole>()

  constructor (private readonly roles: readonly RunningRole[], private readonly printLine: (line: string) => void) {}

  /** The first call stops gracefully; a second call ends at once. */
  signal (): Promise<ExitCode> {
    if (this.stopping === undefined) {
      this.stopping = this.stopAll()
      return this.stopping
    }
    for (const { role } of this.pending) this.printLine(`${role}: ended before its graceful stop had finished`)
    return Promise.resolve(ExitCode.StoppedEarly)
  }

  private async stopAll (): Promise<ExitCode> {
    for (const role of this.roles) this.pending.add(role)
    let code = ExitCode.Done
    for (const role of [...this.roles].reverse()) {
      const left = await this.stopRole(role)
      for (const line of left) this.printLine(`${role.role}: ${line}`)
      if (left.length > 0) code = ExitCode.StoppedEarly
    }
    return code
  }

  private async stopRole (role: RunningRole): Promise<readonly string[]> {
    const { stopDeadlineMilliseconds } = role
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<readonly string[]>((resolve) => {
      timer = setTimeout(() => resolve(['ended at its stop deadline']), stopDeadlineMilliseconds + STOP_MARGIN_MILLISECONDS)
    })
    const left = await Promise.race([role.stop(stopDeadlineMilliseconds), timeout])
    clearTimeout(timer)
    this.pending.delete(role)
    return left
  }
}

/** Environment variable with the path of the settings file, used when the command line has none. */
const SETTINGS_VARIABLE = 'BRAMLEYFLOW_CONFIG'

/** The role in log lines that are about all roles of the process. */
const PROCESS = 'process'

const stopSignals = ['SIGTERM', 'SIGINT'] as const

/** Time beyond a role's stop deadline for closing its sockets and files. */
const STOP_MARGIN_MILLISECONDS = 2_000

/** Runs the roles of a settings file. */
export class Serve extends Command {
  static override paths = [['serve']]
  static override usage = Command.Usage({
    description: 'run the roles that are listed in a settings file',
    details: `
      SIGTERM and SIGINT stop gracefully: entries finish open requests, agents let tasks finish or checkpoint, and
      control hosts transfer their leadership. A second signal ends at once and prints the work that was left.
    `,
    examples: [['Everything in one process', '$0 serve --settings examples/laptop.json'], ['Only check the settings', '$0 serve --settings FILE --check']]
  })

  settings = Option.String('--settings', { env: SETTINGS_VARIABLE, description: `the settings file; by default from ${SETTINGS_VARIABLE}` })
  check = Option.Boolean('--check', false, { description: 'check the settings and exit' })

  async execute (): Promise<ExitCode> {
    const { loadSettings, problemLines } = await import('../settings/index')
    if (this.settings === undefined) {
      this.printError(`no settings file: use --settings or set ${SETTINGS_VARIABLE}`)
      return ExitCode.CannotStart
    }
    const loaded = await loadSettings(this.settings)
    if (loaded.isErr()) {
      for (const line of problemLines(loaded.error)) this.printError(line)
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
    const watch = SettingsWatcher.create(path, (fresh) => { for (const role of running) role.reload?.(fresh) }, (line) => { this.printError(line) })
    const shutdown = new Shutdown(running, (line) => this.printError(line))
    const ended = new Promise<ExitCode>((resolve) => {
      const onSignal = (): void => { shutdown.signal().then(resolve, (error: Error) => resolve(this.reportFailure('stop', error))) }
      for (const signal of stopSignals) process.on(signal, onSignal)
    })
    try {
      await startRoles(settings, running)
      watch.start()
    } catch (error) {
      await shutdown.signal()
      return this.reportFailure('start', error as Error)
    }
    const code = await ended
    watch.stop()
    return code
  }

  private reportFailure (what: string, error: Error): ExitCode {
    this.printError(`cannot ${what}: ${error.message}`)
    return ExitCode.CannotStart
  }

  private printError (line: string): void {
    this.context.stderr.write(`${line}\n`)
  }
}

async function startRoles (settings: Settings, running: RunningRole[]): Promise<void> {
  const { readTls } = await import('../settings/index')
  const { startOrder, startRole } = await import('./roles')
  const { HttpLimits } = await import('../http/index')
  const { createLogger } = await import('../logging')
  const tls = await readTls(settings.tls)
  const limits = HttpLimits.create(settings.deployment ?? {}, createLogger(PROCESS, settings.logLevel))
  const start = settings.deployment === undefined ? startRole : (await import('./deployed-roles')).startDeployedRole
  for (const role of startOrder) {
    if (settings.roles.includes(role)) running.push(await start[role](settings, tls, limits))
  }
}
