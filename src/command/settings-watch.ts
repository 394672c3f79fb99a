import { readFile } from 'node:fs/promises'
import type { Settings } from '../settings/index'

/** Time between two looks at the settings file, in milliseconds: it may change without a signal. */
const LOOK_MILLISECONDS = 2_000
const RELOAD_SIGNAL = 'SIGHUP'

/** Reads the settings again when their file changes or a signal asks for it. Settings with faults change nothing. */
export class SettingsWatch {
  private text?: string
  private timer?: NodeJS.Timeout
  private readonly onSignal = (): void => { void this.look() }

  private constructor (
    private readonly path: string, private readonly changed: (settings: Settings) => void, private readonly complain: (line: string) => void
  ) {
    // Without a handler the signal would end the process, also before the roles have started.
    process.on(RELOAD_SIGNAL, this.onSignal)
  }

  /**
   * Makes a watch that reads nothing yet.
   * @param path - the settings file
   * @param changed - takes the new settings
   * @param complain - takes one line for each fault
   * @returns the watch
   */
  static create (path: string, changed: (settings: Settings) => void, complain: (line: string) => void): SettingsWatch {
    return new SettingsWatch(path, changed, complain)
  }

  /** Begins to look. */
  start (): void {
    void this.look()
    this.timer = setInterval(() => { void this.look() }, LOOK_MILLISECONDS)
  }

  /** Looks no more. */
  stop (): void {
    clearInterval(this.timer)
    process.off(RELOAD_SIGNAL, this.onSignal)
  }

  private async look (): Promise<void> {
    const text = await readFile(this.path, 'utf8').catch((error: Error) => { this.complain(`settings cannot be read again: ${error.message}`); return this.text })
    const first = this.text === undefined
    if (text === undefined || text === this.text) return
    this.text = text
    if (first) return
    const { loadSettings, problemLines } = await import('../settings/index')
    const loaded = await loadSettings(this.path)
    if (loaded.isOk()) this.changed(loaded.value)
    else for (const line of problemLines(loaded.error)) this.complain(`settings were not taken: ${line}`)
  }
}
