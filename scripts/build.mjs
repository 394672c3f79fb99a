// Bundles the program into one CommonJS file. --binary also builds a single executable with Node's own support for it,
// which needs no installed Node. --code-cache adds a launcher with a V8 code cache, which saves half of the compile time
// at start, so that a control host or an entry that restarts under load is available sooner.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'

const optionalPackages = [
  '@nestjs/microservices', '@nestjs/microservices/*', '@nestjs/websockets', '@nestjs/websockets/*',
  '@nestjs/platform-express', 'class-transformer', 'class-transformer/*', 'class-validator',
  '@fastify/static', '@fastify/view', '@fastify/multipart'
]

const folder = process.argv.find((argument) => argument.startsWith('--folder='))?.slice('--folder='.length) ?? 'dist'
const codeCache = process.argv.includes('--code-cache')
const bundle = `${folder}/${codeCache ? 'program' : 'bramleyflow'}.cjs`
mkdirSync(folder, { recursive: true })
await build({
  entryPoints: ['src/command/main.ts'],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  keepNames: true,
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  external: optionalPackages,
  logLevel: 'warning'
})

if (process.argv.includes('--binary')) buildBinary()
if (codeCache) buildCodeCaches()

/** Writes one cache for each set of Node flags in the deploy file, as a cache is valid only for the flags it was made with. */
function buildCodeCaches () {
  const launcher = `${folder}/bramleyflow.cjs`
  copyFileSync('scripts/launcher.cjs', launcher)
  for (const file of readdirSync(folder)) if (file.endsWith('.cache')) rmSync(`${folder}/${file}`)
  for (const [, flags] of readFileSync('deploy/system.toml', 'utf8').matchAll(/^run = "node (.*) target\//gm)) {
    execFileSync(process.execPath, [...flags.split(' '), launcher, 'serve', '--settings', 'examples/laptop.json', '--check'], {
      stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, BRAMLEYFLOW_WRITE_CODE_CACHE: '1' }
    })
  }
}

function buildBinary () {
  const binary = 'dist/bramleyflow'
  writeFileSync('dist/sea.json', JSON.stringify({
    main: 'dist/bramleyflow.cjs',
    output: 'dist/bramleyflow.blob',
    disableExperimentalSEAWarning: true,
    useCodeCache: false
  }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
  copyFileSync(process.execPath, `${binary}.new`)
  chmodSync(`${binary}.new`, 0o755)
  execFileSync(process.execPath, [
    createRequire(import.meta.url).resolve('postject/dist/cli.js'), `${binary}.new`, 'NODE_SEA_BLOB', 'dist/bramleyflow.blob',
    '--sentinel-fuse', 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
  ], { stdio: ['ignore', 'ignore', 'inherit'] })
  copyFileSync(`${binary}.new`, binary)
}
