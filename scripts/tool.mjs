// Bundles a TypeScript tool of the repository into dist/tools and runs it in this process.
import { build } from 'esbuild'
import { basename, resolve } from 'node:path'
import { pathToFileURL } from 'node:url'

const [source, ...rest] = process.argv.slice(2)
const outfile = `dist/tools/${basename(source, '.ts')}.mjs`
await build({
  entryPoints: [source], outfile, bundle: true, platform: 'node', target: 'node20', format: 'esm', packages: 'external', logLevel: 'warning'
})
process.argv = [process.argv[0], source, ...rest]
await import(pathToFileURL(resolve(outfile)).href)
