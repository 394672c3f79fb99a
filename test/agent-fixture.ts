import { Agent, type AgentOptions } from '../src/agent'
import { PlatformStandIn, TargetStandIn } from '../stand-ins'
import { FakeControl } from './fake-control'

/** One worker with its stand-ins, a fake control, and the agents that a test starts. */
export class AgentFixture {
  readonly agents: Agent[] = []
  /** Names of the events that the agents have logged. */
  readonly logged: string[] = []

  private constructor (readonly control: FakeControl, readonly platform: PlatformStandIn, public target: TargetStandIn) {}

  static async create (): Promise<AgentFixture> {
    return new AgentFixture(await FakeControl.create(), await PlatformStandIn.create(), await TargetStandIn.create())
  }

  startAgent (options: Partial<AgentOptions> = {}): Agent {
    const worker = { name: 'w', region: 'r', dataCentre: 'd', rack: 'k', accelerators: 8, slots: 8, processors: 32, memoryMegabytes: 128_000 }
    const agent = Agent.create({ worker, controlHosts: [this.control.address], platformUrl: this.platform.url, targetUrl: this.target.url, log: (event) => { this.logged.push(event) }, ...options })
    this.agents.push(agent)
    agent.start()
    return agent
  }

  /** Starts an agent and waits until it has attached. */
  async attach (options: Partial<AgentOptions> = {}): Promise<Agent> {
    const agent = this.startAgent(options)
    await this.control.attached()
    return agent
  }

  /** Stops an agent without draining it, as a killed process ends, and starts another in its place. */
  async restart (agent: Agent): Promise<Agent> {
    await agent.stop(0)
    this.control.received.length = 0
    return await this.attach()
  }

  async close (): Promise<void> {
    for (const agent of this.agents) await agent.stop(0)
    this.control.close()
    await this.platform.close()
    await this.target.close()
  }
}

export function summary ({ outcome, verdict, reason }: { outcome: string, verdict: number, reason: string }): string {
  return `${outcome} ${['', 'not run', 'may have run', 'ran'][verdict]} ${reason}`.trim()
}
