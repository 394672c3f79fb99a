import { Cli } from 'clipanion'
import { createCommandLine } from './command-line'

createCommandLine().runExit(process.argv.slice(2), Cli.defaultContext).catch((error: Error) => {
  process.exitCode = 1
  process.stderr.write(`${error.message}\n`)
})
