import { Command, Option } from 'clipanion'
import { parseAddress } from '../settings/address'
import { wholeNumber } from './entry-command'
import { ExitCode } from './exit-code'

interface StandIn {
  readonly url: string
  close: () => Promise<void>
}

function waitForSignal (): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
}

abstract class StandInCommand extends Command {
  address = Option.String('--address', '127.0.0.1:0', { description: 'loopback address and port to listen on, 0 for any port' })
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  protected abstract open (port: number): Promise<StandIn>

  async execute (): Promise<ExitCode> {
    const standIn = await this.open(parseAddress(this.address).port)
    this.context.stdout.write(this.json ? `${JSON.stringify({ url: standIn.url })}\n` : `listening on ${standIn.url}\n`)
    await waitForSignal()
    await standIn.close()
    return ExitCode.Done
  }
}

/** Runs a stand-in of a target. */
export class StandInTarget extends StandInCommand {
  static override paths = [['stand-in', 'target']]
  static override usage = Command.Usage({
    category: 'Trials', description: 'run a stand-in of a target', details: 'It takes as long as each request specifies, then answers, and counts the requests that it ran.'
  })

  protected override async open (port: number): Promise<StandIn> {
    const { TargetStandIn } = await import('../../stand-ins/index')
    return TargetStandIn.create(port)
  }
}

/** Runs a stand-in of the platform of one worker. */
export class StandInPlatform extends StandInCommand {
  static override paths = [['stand-in', 'platform']]
  static override usage = Command.Usage({
    category: 'Trials', description: 'run a stand-in of a worker\'s platform', details: 'It runs tasks under leases and never allocates an accelerator twice.'
  })

  accelerators = Option.String('--accelerators', '8', { description: 'number of accelerators' })

  protected override async open (port: number): Promise<StandIn> {
    const { PlatformStandIn } = await import('../../stand-ins/index')
    return PlatformStandIn.create(port, wholeNumber('--accelerators', this.accelerators))
  }
}
