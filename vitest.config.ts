import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 60_000,
    // clipanion's module build imports a folder, which Node itself does not resolve.
    server: { deps: { inline: ['clipanion'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 6 } }
  }
})
