// Runs program.cjs from its own directory with the V8 code cache built for this version and these flags of Node. Without
// a cache the bundle is compiled as usual. The build sets BRAMLEYFLOW_WRITE_CODE_CACHE to write the cache at exit.
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { createRequire } = require('node:module')
const { join } = require('node:path')
const { cachedDataVersionTag } = require('node:v8')
const { Script } = require('node:vm')

const bundle = join(__dirname, 'program.cjs')
const cache = join(__dirname, `program.${cachedDataVersionTag()}.cache`)
const writeCache = process.env.BRAMLEYFLOW_WRITE_CODE_CACHE !== undefined

function readCache () {
  try { return readFileSync(cache) } catch { return undefined }
}

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`
const script = new Script(source, { filename: bundle, cachedData: writeCache ? undefined : readCache() })
if (script.cachedDataRejected === true) {
  process.stderr.write(`${JSON.stringify({ time: new Date().toISOString(), level: 'warn', event: 'code-cache-rejected', file: cache })}\n`)
}
if (writeCache) process.on('exit', () => { writeFileSync(cache, script.createCachedData()) })

const program = { exports: {} }
script.runInThisContext()(program.exports, createRequire(bundle), program, bundle, __dirname)
