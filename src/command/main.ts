import { Builtins, Cli } from 'clipanion'

const cli = new Cli({ binaryName: 'bramleyflow', binaryLabel: 'bramleyflow', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
cli.runExit(process.argv.slice(2)).catch((error: Error) => { process.exitCode = 1; process.stderr.write(`${error.message}\n`) })
