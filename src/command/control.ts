import { Command, Option } from 'clipanion'
import { EntryCommand, table } from './entry-command'
import type { ExitCode } from './exit-code'

interface MembersView {
  readonly leader?: string
  readonly term?: number
  readonly members: ReadonlyArray<{ readonly identity: string, readonly address: string, readonly role: string, readonly match: number }>
}

function memberLines ({ leader, term, members }: MembersView): string[] {
  const head = leader === undefined ? [] : [`leader ${leader}, term ${term}`]
  return [...head, ...table([
    ['IDENTITY', 'ADDRESS', 'ROLE', 'MATCH'], ...members.map(({ identity, address, role, match }) => [identity, address, role, match])
  ])]
}

/** Lists control hosts. */
export class ControlMembers extends EntryCommand {
  static override paths = [['control', 'members']]
  static override usage = Command.Usage({ category: 'Control', description: 'list control hosts' })

  protected override run (): Promise<ExitCode> {
    return this.show({ method: 'GET', path: '/control/members' }, memberLines)
  }
}

abstract class MemberChange extends EntryCommand {
  identity = Option.String('--identity', '', { description: 'identity of the control host' })
  address = Option.String('--address', '', { description: 'address of the control host' })

  protected change (operation: 'add' | 'remove'): Promise<ExitCode> {
    const body = { operation, identity: this.identity, address: this.address }
    return this.show({ method: 'POST', path: '/control/members', body }, memberLines)
  }
}

/** Adds a control host. */
export class ControlAdd extends MemberChange {
  static override paths = [['control', 'add']]
  static override usage = Command.Usage({
    category: 'Control', description: 'add a control host', details: 'It joins as a learner and becomes a voter once it has caught up. Only one change can be in progress.'
  })

  protected override run (): Promise<ExitCode> {
    return this.change('add')
  }
}

/** Removes a control host. */
export class ControlRemove extends MemberChange {
  static override paths = [['control', 'remove']]
  static override usage = Command.Usage({ category: 'Control', description: 'remove a control host' })

  protected override run (): Promise<ExitCode> {
    return this.change('remove')
  }
}

/** Transfers the leadership. */
export class ControlTransfer extends EntryCommand {
  static override paths = [['control', 'transfer']]
  static override usage = Command.Usage({ category: 'Control', description: 'transfer the leadership to another control host' })

  identity = Option.String('--identity', '', { description: 'the next leader; by default the voter whose log is most up to date' })

  protected override run (): Promise<ExitCode> {
    return this.show({ method: 'POST', path: '/control/transfer', body: { identity: this.identity } }, memberLines)
  }
}
