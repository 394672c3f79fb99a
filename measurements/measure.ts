import { decide } from '../src/core/index'
import { firstFit, shortestFirst, urgentFirstFit } from './baselines'
import { simulatePool, replayList, type ReplayFigures } from './replay-figures'
import { createFullSizeList, createNackrosgardenList, createSongHuongList, Disturbance, type JobList } from './job-lists'
import type { Policy } from './replay'

// Replays the job lists under the project's policy and three baselines: npm run measure [-- PART], where PART is song,
// nackros or full.

const policies: ReadonlyArray<readonly [string, Policy]> = [['first fit', firstFit], ['shortest first', shortestFirst], ['ours', decide], ['urgent first', urgentFirstFit]]

const parts: Readonly<Record<string, () => JobList[]>> = {
  song: () => Object.values(Disturbance).map(createSongHuongList),
  nackros: () => Object.values(Disturbance).map(createNackrosgardenList),
  full: () => [createFullSizeList()]
}

const LARGE_FLEET_TICK_MILLISECONDS = 5_000

function compareOnList (list: JobList): void {
  console.log(`\n${list.name}: ${list.jobs.length} jobs, ${list.workers.length} workers`)
  console.log('policy          mean s  p50 s   p95 s   late  fragm.  util.  gang wait s  reclaim s  urgent s  >3.8 s  done  open  broken')
  const results: ReplayFigures[] = []
  for (const [name, policy] of policies) {
    const figures = replayList(list, policy, list.workers.length > 100 ? LARGE_FLEET_TICK_MILLISECONDS : undefined)
    results.push(figures)
    console.log(formatRow(name, figures))
  }
  const bound = simulatePool(list)
  console.log(`pool            ${bound.completionMeanSeconds.toFixed(1).padStart(6)}                               ${bound.utilisation.toFixed(3)}`)
  printRatios(list, results)
}

function formatRow (name: string, figures: ReplayFigures): string {
  const cells: ReadonlyArray<readonly [number, number, number]> = [
    [figures.completionMeanSeconds, 1, 6], [figures.completionMedianSeconds, 1, 7], [figures.completionP95Seconds, 1, 8], [figures.lateProofs, 0, 6], [figures.fragmentation, 3, 8],
    [figures.utilisation, 3, 7], [figures.gangWaitMeanSeconds, 1, 13], [figures.worstReclaimSeconds, 2, 11], [figures.worstUrgentSeconds, 1, 10], [figures.urgentOverBound, 0, 8],
    [figures.finished, 0, 6], [figures.unfinished, 0, 6], [figures.violations, 0, 8]
  ]
  return name.padEnd(16) + cells.map(([value, digits, width]) => value.toFixed(digits).padStart(width)).join('')
}

/** Prints each figure of the project's policy as a ratio to the better baseline, and the weighted scores of all policies. */
function printRatios (list: JobList, results: readonly ReplayFigures[]): void {
  const [first, shortest, project] = results
  if (first === undefined || shortest === undefined || project === undefined) return
  const ratioToBaselines = (measure: keyof ReplayFigures): number => project[measure] / Math.max(1e-9, Math.min(first[measure], shortest[measure]))
  const { completionTimeWeight, fragmentationWeight } = list.placement
  const weightedScore = (figures: ReplayFigures): number => completionTimeWeight * figures.completionMeanSeconds / first.completionMeanSeconds +
    fragmentationWeight * figures.fragmentation / Math.max(1e-9, first.fragmentation)
  console.log(`ours / better baseline: mean ${ratioToBaselines('completionMeanSeconds').toFixed(2)}, p95 ${ratioToBaselines('completionP95Seconds').toFixed(2)}, fragmentation ${ratioToBaselines('fragmentation').toFixed(2)}, ` +
    `gang wait ${ratioToBaselines('gangWaitMeanSeconds').toFixed(2)}; weighted ${results.map((figures) => weightedScore(figures).toFixed(3)).join(' ')}`)
}

const selectedPart = process.argv[2]
for (const [name, lists] of Object.entries(parts)) {
  if (selectedPart === undefined || selectedPart === name) for (const list of lists()) compareOnList(list)
}
