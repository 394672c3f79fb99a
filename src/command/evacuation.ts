/** Commands on evacuations of data centres. */
import { Command, Option } from 'clipanion'
import type { EvacuationOrderView, EvacuationView } from '../entry/evacuation-controller'
import { EntryCommand, table } from './entry-command'
import type { ExitCode } from './exit-code'

const usage = (description: string, details?: string): ReturnType<typeof Command.Usage> => Command.Usage({ category: 'Evacuations', description, details })

/** Lists evacuated data centres. */
export class EvacuationList extends EntryCommand {
  static override paths = [['evacuation', 'list']]
  static override usage = usage('list the evacuated data centres, with the tasks that still run there')

  protected override run (): Promise<ExitCode> {
    return this.show<{ evacuations: EvacuationView[] }>({ method: 'GET', path: '/evacuations' }, ({ evacuations }) => table([
      ['DATA CENTRE', 'SINCE', 'RUNS'], ...evacuations.map(({ dataCentre, startedAt, runs }) => [dataCentre, new Date(startedAt).toISOString(), runs])
    ]))
  }
}

abstract class EvacuationOrderCommand extends EntryCommand {
  dataCentre = Option.String({ name: 'NAME' })

  protected order (order: 'start' | 'finish', outcome: string): Promise<ExitCode> {
    const request = { method: 'POST' as const, path: `/evacuations/${encodeURIComponent(this.dataCentre)}/${order}` }
    return this.show<EvacuationOrderView>(request, ({ dataCentre }) => [`data centre ${dataCentre} ${outcome}`])
  }
}

/** Starts the evacuation of a data centre. */
export class EvacuationStart extends EvacuationOrderCommand {
  static override paths = [['evacuation', 'start']]
  static override usage = usage('send no more work to a data centre', 'What runs there goes on. Starting an evacuation again has no effect.')

  protected override run (): Promise<ExitCode> {
    return this.order('start', 'gets no new work')
  }
}

/** Finishes the evacuation of a data centre. */
export class EvacuationFinish extends EvacuationOrderCommand {
  static override paths = [['evacuation', 'finish']]
  static override usage = usage('send work to a data centre again', 'Its workers open to work that is not urgent over several seconds.')

  protected override run (): Promise<ExitCode> {
    return this.order('finish', 'gets new work')
  }
}
