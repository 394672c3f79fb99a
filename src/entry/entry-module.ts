import { Module, type DynamicModule } from '@nestjs/common'
import { ConfigurationController } from './configuration-controller'
import { ConfigurationCopy } from '../core/configuration-copy'
import { FairGate } from './fair-gate'
import { HealthController } from './health-controller'
import { JobController } from './job-controller'
import { JobService } from './job-service'
import { Leader, QueueClient } from '../client/index'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'
import { OperationController } from './operation-controller'
import { OperatorService } from './operator-service'
import { PageController } from './page-controller'
import { QueueController } from './queue-controller'

/** What the controllers work with. */
export interface EntryParts {
  readonly copy: ConfigurationCopy
  readonly gate: FairGate
  readonly leader: Leader
  readonly metrics: EntryMetrics
  readonly open: OpenRequests
}

/** The nestjs module of an entry. */
@Module({})
export class EntryModule {
  /**
   * Binds the controllers to their parts.
   * @param parts - what they work with
   * @returns the module
   */
  static of (parts: EntryParts): DynamicModule {
    return {
      module: EntryModule,
      controllers: [JobController, QueueController, ConfigurationController, OperationController, PageController, HealthController],
      providers: [
        JobService,
        OperatorService,
        { provide: ConfigurationCopy, useValue: parts.copy },
        { provide: FairGate, useValue: parts.gate },
        { provide: Leader, useValue: parts.leader },
        { provide: QueueClient, useValue: QueueClient.create(parts.leader) },
        { provide: EntryMetrics, useValue: parts.metrics },
        { provide: OpenRequests, useValue: parts.open }
      ]
    }
  }
}
