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

  protected setDrained (path: 'drain' | 'undrain', outcome: string): Promise<ExitCode> {
    const request = { method: 'POST' as const, path: `/workers/${encodeURIComponent(this.worker)}/${path}` }
    return this.show<{ number: number }>(request, ({ number }) => [`${this.worker} ${outcome} from document number ${number} on`])
  }
}

/** Drains a worker. */
export class WorkerDrain extends DrainCommand {
  static override paths = [['worker', 'drain']]
  static override usage = Command.Usage({
    category: 'Workers', description: 'stop giving a worker new work', details: 'Adds it to the maintenance section of the document.'
  })

  protected override run (): Promise<ExitCode> {
    return this.setDrained('drain', 'gets no new work')
  }
}

/** Ends the drain of a worker. */
export class WorkerUndrain extends DrainCommand {
  static override paths = [['worker', 'undrain']]
  static override usage = Command.Usage({
    category: 'Workers', description: 'give a worker new work again', details: 'Removes it from the maintenance section of the document.'
  })

  protected override run (): Promise<ExitCode> {
    return this.setDrained('undrain', 'gets new work')
  }
}
