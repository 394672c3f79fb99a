import { readdirSync, readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { checkAgainst, documentSchema } from '../src/core/index'
import { checkSettings } from '../src/settings/index'

const read = (path: string): unknown => JSON.parse(readFileSync(path, 'utf8'))

test('the example settings of both deployments and of the laptop are valid', () => {
  const files = ['examples/laptop.json', ...['song-huong', 'nackrosgarden'].flatMap((folder) => readdirSync(`examples/${folder}`).map((name) => `examples/${folder}/${name}`))]
  expect(files).toHaveLength(33)
  for (const file of files) expect([file, checkSettings(read(file)).isOk()]).toEqual([file, true])
})

test('the example documents match the schema and rely on no defaults', () => {
  for (const name of ['laptop-document', 'song-huong', 'nackrosgarden']) {
    const document = read(`examples/${name}.json`)
    expect(checkAgainst(documentSchema, document)._unsafeUnwrap()).toEqual(document)
  }
})
