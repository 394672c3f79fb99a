import { Builtins, Cli } from 'clipanion'
import { AuditAccount, AuditExport, AuditVerify } from './audit'
import { ConfigurationCheck, ConfigurationGet, ConfigurationPut, ConfigurationStatus } from './configuration'
import { ControlAdd, ControlMembers, ControlRemove, ControlTransfer } from './control'
import { EvacuationFinish, EvacuationList, EvacuationStart } from './evacuation'
import { JobAnswer, JobCancel, JobExplain, JobList, JobShow, JobSubmit } from './job'
import { Load } from './load'
import { QueueCancel, QueueDocumentGet, QueueDocumentPut, QueuePending, QueueShow, QueueSubmit } from './queue'
import { Serve } from './serve'
import { StandInPlatform, StandInTarget } from './stand-in'
import { WorkerDrain, WorkerList, WorkerUndrain } from './worker'

const commands = [
  Serve,
  ConfigurationGet, ConfigurationPut, ConfigurationCheck, ConfigurationStatus,
  JobSubmit, JobList, JobShow, JobCancel, JobAnswer, JobExplain,
  QueueSubmit, QueueShow, QueueCancel, QueuePending, QueueDocumentGet, QueueDocumentPut,
  WorkerList, WorkerDrain, WorkerUndrain,
  EvacuationList, EvacuationStart, EvacuationFinish,
  ControlMembers, ControlAdd, ControlRemove, ControlTransfer,
  AuditExport, AuditVerify, AuditAccount,
  Load, StandInTarget, StandInPlatform,
  Builtins.HelpCommand, Builtins.VersionCommand
]

/**
 * Creates the command-line interface.
 * @returns the parser with all commands
 */
export function createCommandLine (): Cli {
  return Cli.from(commands, { binaryName: 'bramleyflow', binaryLabel: 'bramleyflow', binaryVersion: '0.1.0' })
}
