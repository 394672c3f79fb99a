import neostandard from 'neostandard'
import jsdoc from 'eslint-plugin-jsdoc'
import tsdoc from 'eslint-plugin-tsdoc'

const inputAndOutput = [
  'fs', 'net', 'http', 'https', 'timers', 'child_process', 'dgram', 'worker_threads', 'os', 'process'
].flatMap((name) => [name, `node:${name}`, `node:${name}/promises`])

const publicContexts = [
  'ExportNamedDeclaration > FunctionDeclaration',
  'ExportNamedDeclaration > ClassDeclaration',
  'ExportNamedDeclaration > TSInterfaceDeclaration',
  'ExportNamedDeclaration > TSTypeAliasDeclaration',
  'ExportNamedDeclaration > TSEnumDeclaration',
  'ExportNamedDeclaration:has(> VariableDeclaration)'
]

export default [
  ...neostandard({ ts: true, ignores: ['node_modules', 'dist', 'target', 'src/wire/generated', 'schemas'] }),
  { files: ['**/*.ts'], rules: { 'no-void': ['error', { allowAsStatement: true }] } },
  {
    files: ['src/**/*.ts', 'stand-ins/**/*.ts'],
    plugins: { jsdoc, tsdoc },
    settings: { jsdoc: { mode: 'typescript' } },
    rules: {
      'tsdoc/syntax': 'error',
      'jsdoc/require-jsdoc': ['error', {
        contexts: publicContexts, require: { FunctionDeclaration: false }, enableFixer: false
      }],
      'jsdoc/require-param': ['error', { enableFixer: false, contexts: ['ExportNamedDeclaration > FunctionDeclaration'] }],
      'jsdoc/require-returns': ['error', { enableFixer: false, contexts: ['ExportNamedDeclaration > FunctionDeclaration'] }],
      'jsdoc/check-param-names': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['src/core/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        paths: inputAndOutput.map((name) => ({ name, message: 'The core must not use input or output.' })),
        patterns: ['../control/*', '../entry/*', '../agent/*', '../command/*', '../wire/*', '@grpc/*', '@nestjs/*', 'undici']
      }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'process', 'fetch'],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'The core takes the time from the transaction.' },
        { object: 'Math', property: 'random', message: 'The core takes random values from the transaction.' }]
    }
  }
]
