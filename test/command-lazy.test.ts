import { build, type Metafile } from 'esbuild'
import { expect, test } from 'vitest'

/** The modules that each role loads besides the command line: the dynamic imports of roles.ts and deployed-roles.ts. */
const loadedBy = {
  agent: ['src/command/roles.ts', 'src/settings/index.ts', 'src/command/credentials.ts', 'src/agent/index.ts'],
  control: ['src/command/roles.ts', 'src/settings/index.ts', 'src/command/credentials.ts', 'src/control/index.ts'],
  supervisor: ['src/command/deployed-roles.ts', 'src/settings/index.ts', 'src/command/credentials.ts', 'src/agent/supervisor.ts', 'platform/worker.ts'],
  deployedControl: ['src/command/deployed-roles.ts', 'src/settings/index.ts', 'src/command/credentials.ts', 'src/control/index.ts', 'platform/operator.ts', 'src/client/index.ts']
}

async function graph (): Promise<Metafile['inputs']> {
  const { metafile } = await build({
    entryPoints: ['src/command/main.ts'], bundle: true, platform: 'node', format: 'cjs', write: false, metafile: true, logLevel: 'silent', outdir: 'dist', external: ['@nestjs/*']
  })
  return metafile.inputs
}

/** All modules that are loaded together with the given ones, except through dynamic imports. External packages are included. */
function closure (inputs: Metafile['inputs'], roots: readonly string[]): string[] {
  const seen = new Set<string>()
  const open = [...roots]
  for (let path = open.pop(); path !== undefined; path = open.pop()) {
    if (seen.has(path)) continue
    seen.add(path)
    for (const { path: next, kind } of inputs[path]?.imports ?? []) if (kind !== 'dynamic-import') open.push(next)
  }
  return [...seen]
}

function packagesOf (paths: readonly string[]): string[] {
  const names = paths.map((path) => path.match(/node_modules\/((?:@[^/]+\/)?[^/]+)/)?.[1] ?? (path.startsWith('@nestjs') ? path : ''))
  return [...new Set(names)].filter((name) => name !== '').sort()
}

test('the command line loads no packages besides its parser', async () => {
  expect(packagesOf(closure(await graph(), ['src/command/main.ts']))).toMatchInlineSnapshot(`
    [
      "clipanion",
      "neverthrow",
      "typanion",
    ]
  `)
})

test('agents and control hosts load neither NestJS nor a schema compiler', async () => {
  const inputs = await graph()
  const packages = Object.fromEntries(Object.entries(loadedBy).map(([role, roots]) => [role, packagesOf(closure(inputs, ['src/command/main.ts', ...roots]))]))
  expect(packages).toMatchInlineSnapshot(`
    {
      "agent": [
        "@bufbuild/protobuf",
        "@grpc/grpc-js",
        "@grpc/proto-loader",
        "@js-sdsl/ordered-map",
        "@protobufjs/aspromise",
        "@protobufjs/base64",
        "@protobufjs/codegen",
        "@protobufjs/eventemitter",
        "@protobufjs/fetch",
        "@protobufjs/float",
        "@protobufjs/path",
        "@protobufjs/pool",
        "@protobufjs/utf8",
        "@sinclair/typebox",
        "clipanion",
        "lodash.camelcase",
        "loglevel",
        "long",
        "neverthrow",
        "protobufjs",
        "typanion",
        "undici",
      ],
      "control": [
        "@bufbuild/protobuf",
        "@grpc/grpc-js",
        "@grpc/proto-loader",
        "@js-sdsl/ordered-map",
        "@opentelemetry/api",
        "@protobufjs/aspromise",
        "@protobufjs/base64",
        "@protobufjs/codegen",
        "@protobufjs/eventemitter",
        "@protobufjs/fetch",
        "@protobufjs/float",
        "@protobufjs/path",
        "@protobufjs/pool",
        "@protobufjs/utf8",
        "@sinclair/typebox",
        "bintrees",
        "clipanion",
        "immutable",
        "lodash.camelcase",
        "loglevel",
        "long",
        "neverthrow",
        "prom-client",
        "protobufjs",
        "pure-rand",
        "tdigest",
        "typanion",
      ],
      "deployedControl": [
        "@bufbuild/protobuf",
        "@grpc/grpc-js",
        "@grpc/proto-loader",
        "@js-sdsl/ordered-map",
        "@opentelemetry/api",
        "@protobufjs/aspromise",
        "@protobufjs/base64",
        "@protobufjs/codegen",
        "@protobufjs/eventemitter",
        "@protobufjs/fetch",
        "@protobufjs/float",
        "@protobufjs/path",
        "@protobufjs/pool",
        "@protobufjs/utf8",
        "@sinclair/typebox",
        "bintrees",
        "clipanion",
        "immutable",
        "jsonc-parser",
        "lodash.camelcase",
        "loglevel",
        "long",
        "neverthrow",
        "prom-client",
        "protobufjs",
        "pure-rand",
        "tdigest",
        "typanion",
      ],
      "supervisor": [
        "@bufbuild/protobuf",
        "@grpc/grpc-js",
        "@grpc/proto-loader",
        "@js-sdsl/ordered-map",
        "@protobufjs/aspromise",
        "@protobufjs/base64",
        "@protobufjs/codegen",
        "@protobufjs/eventemitter",
        "@protobufjs/fetch",
        "@protobufjs/float",
        "@protobufjs/path",
        "@protobufjs/pool",
        "@protobufjs/utf8",
        "@sinclair/typebox",
        "clipanion",
        "lodash.camelcase",
        "loglevel",
        "long",
        "neverthrow",
        "protobufjs",
        "typanion",
        "undici",
      ],
    }
  `)
  const lightweight = [...loadedBy.agent, ...loadedBy.supervisor, ...loadedBy.deployedControl]
  const compilers = closure(inputs, lightweight).filter((path) => /nestjs|fastify|ajv|typebox.*compiler/.test(path))
  expect(compilers).toEqual([])
})
