import { defineConfig } from 'vitest/config'

const MISBEHAVING = 'test/misbehaving/**/*.test.ts'

export default defineConfig({
  test: {
    testTimeout: 120_000,
    hookTimeout: 60_000,
    // clipanion's ES module build imports a directory, which Node does not resolve.
    server: { deps: { inline: ['clipanion'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 6 } },
    projects: [
      { extends: true, test: { name: 'parallel', include: ['test/**/*.test.ts'], exclude: [MISBEHAVING], sequence: { groupOrder: 0 } } },
      // These tests measure the memory of processes, so they run after all others and one file at a time.
      { extends: true, test: { name: 'misbehaving', include: [MISBEHAVING], sequence: { groupOrder: 1 }, testTimeout: 20_000, hookTimeout: 20_000, poolOptions: { forks: { singleFork: true } } } }
    ]
  }
})
