// Bundles the program to one CommonJS file and, with --binary, puts it into a single executable.
// The binary is made with Node's own single executable support, so it needs no installed Node.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'

const optionalPackages = [
  '@nestjs/microservices', '@nestjs/microservices/*', '@nestjs/websockets', '@nestjs/websockets/*',
  '@nestjs/platform-express', 'class-transformer', 'class-transformer/*', 'class-validator',
  '@fastify/static', '@fastify/view', '@fastify/multipart'
]

const folder = process.argv.find((word) => word.startsWith('--folder='))?.slice('--folder='.length) ?? 'dist'
mkdirSync(folder, { recursive: true })
await build({
  entryPoints: ['src/command/main.ts'],
  outfile: `${folder}/bramleyflow.cjs`,
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

if (process.argv.includes('--binary')) makeBinary()

function makeBinary () {
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
