/** Descriptions of fleets and of the loads that are generated for them, one for each deployment and its troubles. */

/** A kind of job in a generated load. */
export interface JobKind {
  readonly priority: number
  readonly jobsPerSecond: number
  readonly tasks: number
  readonly taskMilliseconds: number
  /** Standard deviation of the logarithm of the task times. */
  readonly spread: number
  readonly processors: number
  readonly memoryMegabytes: number
  readonly accelerators: readonly number[]
  readonly gangShare: number
  readonly checkpointShare: number
  readonly secondStepShare: number
  readonly slackFactor: number
  readonly targetMilliseconds: number
  /** Earned by a job of mean size that meets its objective. */
  readonly value: number
  /** Earned in place of `value` up to three times the objective. */
  readonly lateValue: number
  /** Standard deviation of the logarithm of the ratio of estimated to actual time. */
  readonly estimateSpread: number
}

/** A fleet and the load generated for it. */
export interface LoadProfile {
  /** Time for which jobs arrive; 60 s by default. */
  readonly arrivalSeconds?: number
  readonly workers: number
  readonly workerProcessors: number
  readonly workerMegabytes: number
  readonly workersPerRack: number
  /** Factors on the duration of tasks, assigned to the workers in turn; 1 for all by default. */
  readonly slownesses?: readonly number[]
  /** Share of all accelerators that is guaranteed to the accounts. */
  readonly guaranteedShare: number
  readonly accounts: number
  /** Relative numbers of jobs of the accounts; the same for all by default. */
  readonly accountSizes?: readonly number[]
  /** Time at which all runs are lost, in seconds. */
  readonly powerLossAt?: number
  readonly stopMilliseconds: number
  /** Start delay from which a job of priority 0 counts as a late reclaim. */
  readonly reclaimMilliseconds: number
  /** Work between two checkpoints, in milliseconds; a checkpoint is also saved at a stop. */
  readonly checkpointMilliseconds: number
  readonly kinds: Readonly<Record<string, JobKind>>
  /** Periods, in seconds, in which the arrival rate of a kind is multiplied by `factor`; the additional jobs are those of `account` where it is given. */
  readonly bursts: ReadonlyArray<{ readonly kind: string, readonly from: number, readonly to: number, readonly factor: number, readonly account?: number }>
  /** Period, in seconds, in which a share of the workers takes `factor` times as long. */
  readonly slow?: { readonly share: number, readonly from: number, readonly to: number, readonly factor: number }
  /** Kinds whose tasks take `factor` times as long while a task of the kind `beside` runs on the same worker. */
  readonly interference?: ReadonlyArray<{ readonly kind: string, readonly beside: string, readonly factor: number }>
}

const acceleratorChoices = [1, 2, 4, 8, 8]
const portrait: JobKind = {
  priority: 1,
  jobsPerSecond: 0.285,
  tasks: 2,
  taskMilliseconds: 12_143,
  spread: 0.3,
  processors: 26_000,
  memoryMegabytes: 68_000,
  accelerators: acceleratorChoices,
  gangShare: 0.5,
  checkpointShare: 0.45,
  secondStepShare: 0,
  slackFactor: 3,
  targetMilliseconds: 1_000,
  value: 3,
  lateValue: 0.9,
  estimateSpread: 0.5
}
const proof: JobKind = {
  priority: 0,
  jobsPerSecond: 0.209,
  tasks: 3,
  taskMilliseconds: 3_571,
  spread: 0.5,
  processors: 7_500,
  memoryMegabytes: 15_000,
  accelerators: acceleratorChoices,
  gangShare: 0.6,
  checkpointShare: 0,
  secondStepShare: 0,
  slackFactor: 1.5,
  targetMilliseconds: 250,
  value: 4,
  lateValue: 0.8,
  estimateSpread: 0.5
}
const script: JobKind = {
  priority: 2,
  jobsPerSecond: 0.137,
  tasks: 9,
  taskMilliseconds: 10_857,
  spread: 0.3,
  processors: 5_600,
  memoryMegabytes: 8_200,
  accelerators: [1],
  gangShare: 0,
  checkpointShare: 0.45,
  secondStepShare: 0.3,
  slackFactor: 3,
  targetMilliseconds: 3_000,
  value: 1,
  lateValue: 0.3,
  estimateSpread: 0.9
}
const photo: JobKind = { ...portrait, jobsPerSecond: 0.319, processors: 13_000, memoryMegabytes: 38_000, estimateSpread: 0.9 }
const stock: JobKind = { ...proof, jobsPerSecond: 0.417, processors: 3_700, memoryMegabytes: 11_000, estimateSpread: 0.2 }
const pack: JobKind = { ...script, jobsPerSecond: 0.193, taskMilliseconds: 8_714, processors: 2_800, memoryMegabytes: 11_000 }
const small = { checkpointMilliseconds: 500, workersPerRack: 3, workerMegabytes: 131_072, accounts: 4, guaranteedShare: 0.64 }
const songHuong = {
  ...small,
  workers: 11,
  workerProcessors: 64_000,
  stopMilliseconds: 400,
  reclaimMilliseconds: 2_900,
  kinds: { portrait, proof, script }
}
const nackros = {
  ...small,
  workers: 11,
  workerProcessors: 32_000,
  stopMilliseconds: 200,
  reclaimMilliseconds: 2_700,
  kinds: { photo, stock, pack }
}

const pattern: JobKind = {
  ...portrait,
  jobsPerSecond: 0.92,
  tasks: 6.9,
  taskMilliseconds: 9_714,
  processors: 13_000,
  memoryMegabytes: 26_000,
  gangShare: 1,
  checkpointShare: 0.5,
  estimateSpread: 0.2
}
const scan: JobKind = {
  ...proof,
  jobsPerSecond: 1.6,
  tasks: 5.4,
  processors: 3_700,
  memoryMegabytes: 5_500,
  gangShare: 1,
  targetMilliseconds: 300
}
const stitch: JobKind = {
  ...script,
  jobsPerSecond: 0.3,
  tasks: 39,
  taskMilliseconds: 13_571,
  processors: 2_800,
  memoryMegabytes: 7_400,
  estimateSpread: 0.2
}
const valkenhand = {
  checkpointMilliseconds: 2_000,
  workers: 67,
  workerProcessors: 32_000,
  workerMegabytes: 65_536,
  workersPerRack: 11,
  accounts: 10,
  guaranteedShare: 0.62,
  stopMilliseconds: 900,
  reclaimMilliseconds: 3_400,
  kinds: { pattern, scan, stitch }
}
const smallPattern: JobKind = { ...pattern, jobsPerSecond: 0.4, tasks: 2 }
const smallScan: JobKind = { ...scan, jobsPerSecond: 0.27, tasks: 3, targetMilliseconds: 250, estimateSpread: 0.5 }
const smallStitch: JobKind = { ...stitch, jobsPerSecond: 0.12, tasks: 9 }
const smallValkenhand = {
  ...valkenhand,
  workers: 11,
  workersPerRack: 3,
  accounts: 4,
  slownesses: [1, 1, 1.3],
  kinds: { pattern: smallPattern, scan: smallScan, stitch: smallStitch }
}
/** A fleet that resembles no deployment, on which no constant was chosen. */
const report: JobKind = { ...proof, jobsPerSecond: 0.6, tasks: 2, taskMilliseconds: 5_200, processors: 6_000, accelerators: [1, 2, 4], gangShare: 0.3, slackFactor: 1.8, targetMilliseconds: 400 }
const training: JobKind = { ...portrait, jobsPerSecond: 0.5, tasks: 4, taskMilliseconds: 15_000, processors: 9_000, memoryMegabytes: 20_000, accelerators: [2, 4, 8], gangShare: 0.7, checkpointShare: 0.3, slackFactor: 2.5 }
const cleaning: JobKind = { ...script, jobsPerSecond: 0.25, tasks: 14, taskMilliseconds: 7_000 }
const otherFleet = {
  ...valkenhand, workers: 24, workerProcessors: 48_000, workerMegabytes: 98_304, workersPerRack: 6, accounts: 7, guaranteedShare: 0.5, slownesses: [1, 1.2, 1, 1.5], stopMilliseconds: 1_500, kinds: { report, training, cleaning }
}
const largePortrait: JobKind = {
  ...portrait,
  jobsPerSecond: 1.16,
  tasks: 13,
  taskMilliseconds: 9_714,
  memoryMegabytes: 53_000,
  gangShare: 1,
  checkpointShare: 0.5,
  estimateSpread: 0.2
}
const largeProof: JobKind = {
  ...proof,
  jobsPerSecond: 2.97,
  tasks: 5.3,
  memoryMegabytes: 20_000,
  gangShare: 1,
  targetMilliseconds: 300
}
const largeScript: JobKind = { ...script, jobsPerSecond: 0.91, tasks: 38 }
const large = {
  checkpointMilliseconds: 500,
  workers: 160,
  workerProcessors: 64_000,
  workerMegabytes: 131_072,
  workersPerRack: 12,
  accounts: 24,
  guaranteedShare: 0.62,
  stopMilliseconds: 400,
  reclaimMilliseconds: 2_900,
  kinds: { portrait: largePortrait, proof: largeProof, script: largeScript }
}

/** Callers compete for too little room: three quarters of the accelerators are in use on average, and bursts ask for more than there are. */
const scarce = {
  ...large,
  workers: 55,
  workerProcessors: 128_000,
  workerMegabytes: 262_144,
  workersPerRack: 6,
  accounts: 10,
  checkpointMilliseconds: 1_000,
  kinds: {
    portrait: { ...portrait, jobsPerSecond: 0.347, tasks: 6, taskMilliseconds: 15_714, processors: 52_000, memoryMegabytes: 75_000, gangShare: 1, lateValue: 1.5 },
    proof: { ...proof, jobsPerSecond: 1.01, tasks: 5, processors: 15_000, memoryMegabytes: 39_000, gangShare: 1, targetMilliseconds: 300 },
    script: { ...script, jobsPerSecond: 0.233, tasks: 39, taskMilliseconds: 8_714, processors: 11_000, memoryMegabytes: 16_000, lateValue: 0.5, estimateSpread: 0.5 }
  }
}
/** A quarter of the workers runs at less than half the pace of the others, and demand swings. */
const uneven = {
  ...scarce,
  workers: 73,
  workerMegabytes: 524_288,
  workersPerRack: 12,
  checkpointMilliseconds: 500,
  slownesses: [1.82, 0.83, 0.83, 0.83],
  kinds: {
    portrait: { ...scarce.kinds.portrait, jobsPerSecond: 0.458, tasks: 8, taskMilliseconds: 10_286, memoryMegabytes: 210_000, lateValue: 0.9 },
    proof: { ...scarce.kinds.proof, jobsPerSecond: 1.13, taskMilliseconds: 3_000, memoryMegabytes: 61_000 },
    script: { ...scarce.kinds.script, jobsPerSecond: 0.327, taskMilliseconds: 7_429, memoryMegabytes: 33_000, lateValue: 0.3, estimateSpread: 0.2 }
  }
}

/** A few large accounts among ten. */
const unevenAccounts = [30, 25, 20, 5, 5, 4, 4, 3, 2, 2]

/** Loads of the deployments: usual, with bursts, with a fifth of the workers slow, with kinds that interfere, with a power loss, and with accounts that differ in size. */
export const loads: Readonly<Record<string, LoadProfile>> = {
  'song huong': { ...songHuong, bursts: [] },
  'song huong, bursts': {
    ...songHuong,
    bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2.3 }, { kind: 'portrait', from: 8, to: 12, factor: 2.6 }, { kind: 'proof', from: 30, to: 36, factor: 2.3 }]
  },
  'song huong, slow': {
    ...songHuong,
    bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2 }],
    slow: { share: 0.2, from: 5, to: 12, factor: 6.5 }
  },
  nackros: { ...nackros, bursts: [] },
  'nackros, bursts': {
    ...nackros,
    bursts: [{ kind: 'stock', from: 5, to: 11, factor: 2.3 }, { kind: 'photo', from: 8, to: 12, factor: 2.6 }, { kind: 'stock', from: 30, to: 36, factor: 2.3 }]
  },
  'nackros, slow': {
    ...nackros,
    bursts: [{ kind: 'stock', from: 5, to: 11, factor: 2 }],
    slow: { share: 0.2, from: 5, to: 12, factor: 6.5 }
  },
  valkenhand: { ...smallValkenhand, bursts: [] },
  'valkenhand, bursts': {
    ...smallValkenhand,
    bursts: [{ kind: 'scan', from: 5, to: 11, factor: 2.3 }, { kind: 'stitch', from: 13, to: 17, factor: 2.2 }]
  },
  'other fleet, bursts': { ...otherFleet, bursts: [{ kind: 'report', from: 6, to: 13, factor: 2.6 }, { kind: 'training', from: 20, to: 25, factor: 1.8 }] },
  'valkenhand grown, bursts': {
    ...valkenhand,
    bursts: [{ kind: 'scan', from: 5, to: 11, factor: 2.2 }, { kind: 'pattern', from: 13, to: 17, factor: 2.3 }]
  },
  'other fleet, noisy': {
    ...otherFleet,
    arrivalSeconds: 240,
    bursts: [{ kind: 'report', from: 126, to: 133, factor: 2 }],
    kinds: { report: { ...report, jobsPerSecond: 0.4 }, training: { ...training, jobsPerSecond: 0.25 }, cleaning: { ...cleaning, jobsPerSecond: 0.2 } },
    interference: [{ kind: 'training', beside: 'cleaning', factor: 2 }, { kind: 'report', beside: 'training', factor: 1.4 }]
  },
  'valkenhand grown, power lost': { ...valkenhand, bursts: [{ kind: 'scan', from: 5, to: 11, factor: 2.2 }], powerLossAt: 20 },
  'scarce room, bursts': {
    ...scarce,
    bursts: [{ kind: 'proof', from: 5, to: 8, factor: 1.7 }, { kind: 'script', from: 13, to: 17, factor: 2.6 }, { kind: 'portrait', from: 20, to: 24, factor: 1.7 }]
  },
  'uneven workers, bursts': {
    ...uneven,
    bursts: [{ kind: 'script', from: 5, to: 9, factor: 2.6 }, { kind: 'proof', from: 14, to: 18, factor: 2 }, { kind: 'portrait', from: 20, to: 24, factor: 2 }]
  },
  'uneven accounts, bursts': {
    ...songHuong,
    accounts: unevenAccounts.length,
    accountSizes: unevenAccounts,
    bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2.3 }, { kind: 'portrait', from: 8, to: 12, factor: 2.6 }]
  },
  'flood of one account': { ...songHuong, bursts: [{ kind: 'portrait', from: 5, to: 15, factor: 8, account: 0 }] },
  'song huong large, bursts': {
    ...large,
    bursts: [{ kind: 'proof', from: 5, to: 11, factor: 2.1 }, { kind: 'portrait', from: 8, to: 12, factor: 2.8 }]
  }
}
