// Prints the known failures listed in KNOWN-RED.txt, then the test counts as the last line of a run. Exits with 1 unless all
// tests passed but those that KNOWN-RED.txt names in lines of the form `- passed over: FILE > NAME`.
import { existsSync, readFileSync } from 'node:fs'
import { relative } from 'node:path'

const knownRed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
const report = JSON.parse(readFileSync('dist/tests.json', 'utf8'))
const [, vitestStatus = '0', outputFile] = process.argv.slice(1)
const passedOver = new Set([...knownRed.matchAll(/^- passed over: (.+?\.test\.ts > .+)$/gm)].map(([, name]) => name))

const failed = report.testResults.flatMap(({ name, assertionResults }) => assertionResults
  .filter(({ status }) => status === 'failed')
  .map(({ ancestorTitles, title }) => [relative('.', name), ...ancestorTitles, title].join(' > ')))
// A file that fails without a failed test could not be loaded.
const brokenFiles = report.testResults.filter(({ status, assertionResults }) => status === 'failed' && assertionResults.every((result) => result.status !== 'failed'))
const unhandled = outputFile !== undefined && readFileSync(outputFile, 'utf8').includes('Unhandled Error')
const unexpected = failed.filter((name) => !passedOver.has(name))
const passes = vitestStatus === '0' || (failed.length > 0 && unexpected.length === 0 && brokenFiles.length === 0 && !unhandled)

if (knownRed !== '') console.log(knownRed)
for (const name of failed) console.log(`${passedOver.has(name) ? 'passed over' : 'FAILED'}: ${name}`)
console.log(`${report.numPassedTests} passed, ${report.numFailedTests} failed, ${report.numPendingTests} skipped`)
process.exitCode = passes ? 0 : 1
