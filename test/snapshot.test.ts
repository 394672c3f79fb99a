import { Map as ImmutableMap } from 'immutable'
import { expect, test } from 'vitest'
import { decodeState, encodeState, encodeStateInChunks, initialState, type StoredPut } from '../src/core/index'

function put (number: number): [string, StoredPut] {
  const requestIdentifier = `request-${number}`
  return [requestIdentifier, { team: 'all', requestIdentifier, digest: '', number, sections: [], documentDigest: '', consequences: [], at: number }]
}

test.each([0, 1, 255, 256, 257, 1_000])('a state with a list of %i elements is decoded as it was encoded', (count) => {
  const puts = ImmutableMap(Array.from({ length: count }, (_, number) => put(number)))
  const state = { ...initialState, configuration: { ...initialState.configuration, puts } }
  const read = decodeState(Buffer.concat([...encodeStateInChunks(state)]))
  expect(read.configuration.puts.size).toBe(count)
  expect(Buffer.from(encodeState(read)).equals(encodeState(state))).toBe(true)
  expect(JSON.parse(Buffer.from(encodeState(state)).toString()).puts).toHaveLength(count)
})
