import { Module, type DynamicModule } from '@nestjs/common'
import { ConfigurationController } from './configuration-controller'
import { ConfigurationCopy } from '../core/configuration-copy'
import { EvacuationController } from './evacuation-controller'
import { FairLimiter } from './fair-limiter'
import { HealthController } from './health-controller'
import { JobController } from './job-controller'
import { JobService } from './job-service'
import { EvacuationClient, LeaderClient, QueueClient } from '../client/index'
import { EntryMetrics } from './metrics'
import { OpenRequests } from './open-requests'
import { OperationController } from './operation-controller'
import { OperatorService } from './operator-service'
import { PageController } from './page-controller'
import { QueueController } from './queue-controller'

/** Instances that are injected into the controllers and services. */
export interface EntryProviders {
  readonly configuration: ConfigurationCopy
  readonly limiter: FairLimiter
  readonly leader: LeaderClient
  readonly metrics: EntryMetrics
  readonly openRequests: OpenRequests
}

/** The NestJS module of an entry. */
@Module({})
export class EntryModule {
  /**
   * Creates the module around existing instances.
   * @param instances - injected into the controllers and services
   * @returns the module
   */
  static of (instances: EntryProviders): DynamicModule {
    return {
      module: EntryModule,
      controllers: [JobController, QueueController, EvacuationController, ConfigurationController, OperationController, PageController, HealthController],
      providers: [
        JobService,
        OperatorService,
        { provide: ConfigurationCopy, useValue: instances.configuration },
        { provide: FairLimiter, useValue: instances.limiter },
        { provide: LeaderClient, useValue: instances.leader },
        { provide: QueueClient, useValue: QueueClient.create(instances.leader) },
        { provide: EvacuationClient, useValue: EvacuationClient.create(instances.leader) },
        { provide: EntryMetrics, useValue: instances.metrics },
        { provide: OpenRequests, useValue: instances.openRequests }
      ]
    }
  }
}
