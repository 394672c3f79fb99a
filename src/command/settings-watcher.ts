import { readFile } from 'node:fs/promises'
import type { Settings } from '../settings/index'

/** The settings file is also polled, because it may change without a signal. */
const POLL_INTERVAL_MILLISECONDS = 2_000
const RELOAD_SIGNAL = 'SIGHUP'

/** Reads the settings again when the file changes or on SIGHUP. Invalid settings are reported and ignored. */
export class SettingsWatcher {
  private lastText?: string
  private timer?: NodeJS.Timeout
  private readonly onSignal = (): void => { void this.reloadIfChanged() }

  private constructor (
    private readonly path: string, private readonly onChange: (settings: Settings) => void, private readonly reportProblem: (line: string) => void
  ) {
    // Installed here and not in start(): without a handler, SIGHUP would end the process while the roles are still starting.
    process.on(RELOAD_SIGNAL, this.onSignal)
  }

  /**
   * Creates a watcher that does not read the file yet.
   * @param path - the settings file
   * @param onChange - called with the new settings
   * @param reportProblem - called with one line for each problem
   * @returns the watcher
   */
  static create (path: string, onChange: (settings: Settings) => void, reportProblem: (line: string) => void): SettingsWatcher {
    return new SettingsWatcher(path, onChange, reportProblem)
  }

  /** Starts watching. */
  start (): void {
    void this.reloadIfChanged()
    this.timer = setInterval(() => { void this.reloadIfChanged() }, POLL_INTERVAL_MILLISECONDS)
  }

  /** Stops watching. */
  stop (): void {
    clearInterval(this.timer)
    process.off(RELOAD_SIGNAL, this.onSignal)
  }

  private async reloadIfChanged (): Promise<void> {
    const text = await readFile(this.path, 'utf8').catch((error: Error) => { this.reportProblem(`cannot read the settings again: ${error.message}`); return this.lastText })
    const first = this.lastText === undefined
    if (text === undefined || text === this.lastText) return
    this.lastText = text
    if (first) return
    const { loadSettings, problemLines } = await import('../settings/index')
    const loaded = await loadSettings(this.path)
    if (loaded.isOk()) this.onChange(loaded.value)
    else for (const line of problemLines(loaded.error)) this.reportProblem(`the changed settings were ignored: ${line}`)
  }
}
