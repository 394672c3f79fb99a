import { Cli } from 'clipanion'
import { createCommandLine } from './command-line'
import { Serve } from './serve'

/** Time allowed for the last output lines to be written before the process exits. */
const EXIT_DELAY_MILLISECONDS = 200

const commandArguments = process.argv.slice(2)

/** Sockets of a role that did not stop in time must not keep the process alive. Only serve can leave such sockets open. */
function scheduleExit (): void {
  if (Serve.paths.some(([name]) => name === commandArguments[0])) setTimeout(() => process.exit(), EXIT_DELAY_MILLISECONDS).unref()
}

createCommandLine().runExit(commandArguments, Cli.defaultContext).then(scheduleExit, (error: Error) => {
  process.exitCode = 1
  process.stderr.write(`${error.message}\n`)
})
