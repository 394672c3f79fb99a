import { Cli } from 'clipanion'
import { createCommandLine } from './command-line'
import { Serve } from './serve'

/** Time for the last lines to be written before the process is ended. */
const LINGER_MILLISECONDS = 200

const words = process.argv.slice(2)

/** Sockets of a role that did not end in time must not hold the process; no other command leaves any. */
function endSoon (): void {
  if (Serve.paths.some(([name]) => name === words[0])) setTimeout(() => process.exit(), LINGER_MILLISECONDS).unref()
}

createCommandLine().runExit(words, Cli.defaultContext).then(endSoon, (error: Error) => {
  process.exitCode = 1
  process.stderr.write(`${error.message}\n`)
})
