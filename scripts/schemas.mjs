// Generates the published JSON schemas from their TypeBox source. --check only compares them and exits 1 on a difference.
import { build } from 'esbuild'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { pathToFileURL } from 'node:url'

const bundle = 'dist/tools/schemas-source.mjs'
await build({
  stdin: {
    contents: [
      "export { settingsSchema as settings } from './src/settings/index'",
      "export { documentSchema as document } from './src/core/document'",
      "export { submissionSchema as submission } from './src/entry/job-request'",
      "export { stepJobSchema, queueDocumentSchema } from './src/core/steps/index'"
    ].join('\n'),
    resolveDir: '.'
  },
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  logLevel: 'warning'
})
const { stepJobSchema, queueDocumentSchema, ...rest } = await import(pathToFileURL(resolve(bundle)).href)
const sources = { ...rest, 'step-job': stepJobSchema, 'queue-document': queueDocumentSchema }
mkdirSync('schemas', { recursive: true })
let stale = 0
for (const [name, schema] of Object.entries(sources)) {
  const file = `schemas/${name}.json`
  const text = `${JSON.stringify({ $schema: 'https://json-schema.org/draft/2020-12/schema', ...schema }, undefined, 2)}\n`
  if (!process.argv.includes('--check')) writeFileSync(file, text)
  else if (read(file) !== text) {
    console.error(`${file} is out of date; run npm run schemas`)
    stale += 1
  }
}
process.exitCode = stale > 0 ? 1 : 0

function read (file) {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    return ''
  }
}
