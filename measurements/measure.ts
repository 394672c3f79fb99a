import { decide } from '../src/core/index'
import { firstFit, shortestFirst, urgentFirstFit } from './baselines'
import { pool, replayList, type Figures } from './figures'
import { fullSize, nackrosgarden, songHuong, Trouble, type JobList } from './lists'
import type { Policy } from './replay'

// Replays the job lists under three policies: npm run measure [-- PART], where PART is song, nackros or full.

const policies: ReadonlyArray<readonly [string, Policy]> = [['first fit', firstFit], ['shortest first', shortestFirst], ['ours', decide], ['urgent first', urgentFirstFit]]

const parts: Readonly<Record<string, () => JobList[]>> = {
  song: () => Object.values(Trouble).map(songHuong),
  nackros: () => Object.values(Trouble).map(nackrosgarden),
  full: () => [fullSize()]
}

const FULL_TICK_MILLISECONDS = 5_000

function show (list: JobList): void {
  console.log(`\n${list.name}: ${list.jobs.length} jobs, ${list.workers.length} workers`)
  console.log('policy          mean s  p50 s   p95 s   late  fragm.  util.  gang wait s  reclaim s  urgent s  >3.8 s  done  open  broken')
  const results: Figures[] = []
  for (const [name, policy] of policies) {
    const figures = replayList(list, policy, list.workers.length > 100 ? FULL_TICK_MILLISECONDS : undefined)
    results.push(figures)
    console.log(line(name, figures))
  }
  const bound = pool(list)
  console.log(`pool            ${bound.completionMean.toFixed(1).padStart(6)}                               ${bound.utilisation.toFixed(3)}`)
  compare(list, results)
}

function line (name: string, figures: Figures): string {
  const cells: ReadonlyArray<readonly [number, number, number]> = [
    [figures.completionMean, 1, 6], [figures.completionMedian, 1, 7], [figures.completionHigh, 1, 8], [figures.lateProofs, 0, 6], [figures.fragmentation, 3, 8],
    [figures.utilisation, 3, 7], [figures.gangWaitMean, 1, 13], [figures.worstReclaim, 2, 11], [figures.worstUrgent, 1, 10], [figures.urgentOverBound, 0, 8],
    [figures.finished, 0, 6], [figures.unfinished, 0, 6], [figures.broken, 0, 8]
  ]
  return name.padEnd(16) + cells.map(([value, digits, width]) => value.toFixed(digits).padStart(width)).join('')
}

/** Ours against the better of the baselines, measure by measure. */
function compare (list: JobList, results: readonly Figures[]): void {
  const [first, shortest, ours] = results
  if (first === undefined || shortest === undefined || ours === undefined) return
  const against = (measure: keyof Figures): number => ours[measure] / Math.max(1e-9, Math.min(first[measure], shortest[measure]))
  const { completionTimeWeight, fragmentationWeight } = list.placement
  const weighed = (figures: Figures): number => completionTimeWeight * figures.completionMean / first.completionMean +
    fragmentationWeight * figures.fragmentation / Math.max(1e-9, first.fragmentation)
  console.log(`ours / better baseline: mean ${against('completionMean').toFixed(2)}, p95 ${against('completionHigh').toFixed(2)}, fragmentation ${against('fragmentation').toFixed(2)}, ` +
    `gang wait ${against('gangWaitMean').toFixed(2)}; weighted ${results.map((figures) => weighed(figures).toFixed(3)).join(' ')}`)
}

const wantedPart = process.argv[2]
for (const [name, lists] of Object.entries(parts)) {
  if (wantedPart === undefined || wantedPart === name) for (const list of lists()) show(list)
}
