import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 60_000,
    // clipanion's ES module build imports a directory, which Node does not resolve.
    server: { deps: { inline: ['clipanion'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 6 } }
  }
})
