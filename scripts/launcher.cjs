// Runs the bundle beside it with the code cache that the build made for this version and these flags of Node. Without
// one the bundle is compiled as usual. The build runs it once with BRAMLEYFLOW_WRITE_CODE_CACHE set to make the cache.
'use strict'
const { readFileSync, writeFileSync } = require('node:fs')
const { createRequire } = require('node:module')
const { join } = require('node:path')
const { cachedDataVersionTag } = require('node:v8')
const { Script } = require('node:vm')

const bundle = join(__dirname, 'program.cjs')
const cache = join(__dirname, `program.${cachedDataVersionTag()}.cache`)
const writes = process.env.BRAMLEYFLOW_WRITE_CODE_CACHE !== undefined

function readCache () {
  try { return readFileSync(cache) } catch { return undefined }
}

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`
const script = new Script(source, { filename: bundle, cachedData: writes ? undefined : readCache() })
if (script.cachedDataRejected === true) {
  process.stderr.write(`${JSON.stringify({ time: new Date().toISOString(), level: 'warn', event: 'code-cache-rejected', file: cache })}\n`)
}
if (writes) process.on('exit', () => { writeFileSync(cache, script.createCachedData()) })

const program = { exports: {} }
script.runInThisContext()(program.exports, createRequire(bundle), program, bundle, __dirname)
