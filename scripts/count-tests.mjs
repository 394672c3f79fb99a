// Prints the known failures listed in KNOWN-RED.txt, then the test counts as the last line of a run.
import { existsSync, readFileSync } from 'node:fs'

const report = JSON.parse(readFileSync('dist/tests.json', 'utf8'))
if (existsSync('KNOWN-RED.txt')) console.log(readFileSync('KNOWN-RED.txt', 'utf8'))
console.log(`${report.numPassedTests} passed, ${report.numFailedTests} failed, ${report.numPendingTests} skipped`)
