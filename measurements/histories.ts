import { runHistory } from '../test/history-runner'

// Runs generated histories for a range of seeds and prints the violated invariants:
// node scripts/tool.mjs measurements/histories.ts FROM TO

const [from = 1, to = 100] = process.argv.slice(2).map(Number)
let failed = 0
let jobs = 0
for (let seed = from; seed <= to; seed++) {
  const { violations, ended } = runHistory(seed)
  jobs += ended
  if (violations.length === 0) continue
  failed++
  console.log(violations.join('\n'))
}
console.log(`${to - from + 1} histories, ${jobs} jobs ended, ${failed} histories with violated invariants`)
