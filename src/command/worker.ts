import { Command, Option } from 'clipanion'
import { EntryCommand, table } from './entry-command'
import type { ExitCode } from './exit-code'

interface WorkerView {
  readonly name: string
  readonly dataCentre?: string
  readonly rack?: string
  readonly present?: boolean
  readonly leaving?: boolean
  readonly health?: string
}

function workerRow ({ name, dataCentre = '', rack = '', present, leaving, health = '' }: WorkerView): string[] {
  return [name, dataCentre, rack, present === false ? 'absent' : 'present', leaving === true ? 'leaving' : '', health]
}

/** Lists workers. */
export class WorkerList extends EntryCommand {
  static override paths = [['worker', 'list']]
  static override usage = Command.Usage({ category: 'Workers', description: 'list workers, as announced by their agents' })

  protected override run (): Promise<ExitCode> {
    return this.show<{ workers: WorkerView[] }>({ method: 'GET', path: '/workers' }, ({ workers }) => table([
      ['WORKER', 'DATA CENTRE', 'RACK', 'PRESENCE', 'LEAVING', 'HEALTH'], ...workers.map(workerRow)
    ]))
  }
}

abstract class DrainCommand extends EntryCommand {
  worker = Option.String({ name: 'WORKER' })

  protected setDrained (path: 'drain' | 'undrain', said: string): Promise<ExitCode> {
    const request = { method: 'POST' as const, path: `/workers/${encodeURIComponent(this.worker)}/${path}` }
    return this.show<{ number: number }>(request, ({ number }) => [`${this.worker} ${said} from document number ${number} on`])
  }
}

/** Gives a worker no new work. */
export class WorkerDrain extends DrainCommand {
  static override paths = [['worker', 'drain']]
  static override usage = Command.Usage({
    category: 'Workers', description: 'give a worker no new work', details: 'Adds it to the maintenance section of the document.'
  })

  protected override run (): Promise<ExitCode> {
    return this.setDrained('drain', 'gets no new work')
  }
}

/** Gives a worker new work again. */
export class WorkerUndrain extends DrainCommand {
  static override paths = [['worker', 'undrain']]
  static override usage = Command.Usage({
    category: 'Workers', description: 'give a worker new work again', details: 'Removes it from the maintenance section of the document.'
  })

  protected override run (): Promise<ExitCode> {
    return this.setDrained('undrain', 'gets new work')
  }
}
