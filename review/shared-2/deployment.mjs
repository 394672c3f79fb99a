/**
 * Starts the programs of the deploy file as separate processes on loopback addresses, with settings rendered from its
 * template, and ends them again. A machine is one loopback address; its processes share it.
 */
import { spawn } from 'node:child_process'
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

export const repository = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
export const FRONT_PORT = 8521
const READINESS_PORT = 8523
export const CONTROL_PORT = 8526
export const APP_PORT = 8529
const PORT_RANGE = [7000, 7015]
const METRICS_PORT = 9464

/** The bounds of the small site in the pages that the roles of this project use. */
export const bounds = { hold_max_ms: 6000, stop_ms: 200, grace_s: 6, cancel_ms: 3000, contact_ms: 3000, ack_ms: 4000 }

export const sleep = (milliseconds) => new Promise((resolve) => { setTimeout(resolve, milliseconds) })

/** Renders the part of the platform's template language that the template uses. */
function render (text, scopes) {
  const found = /\{\{([#^])([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\2\}\}\n?/.exec(text)
  if (found === null) return text.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path) => JSON.stringify(lookUp(path, scopes)))
  const [whole, kind, path, inner] = found
  const value = lookUp(path, scopes)
  const present = value !== undefined && value !== false
  const middle = kind === '#' ? (present ? render(inner, [value, ...scopes]) : '') : (present ? '' : render(inner, scopes))
  return render(text.slice(0, found.index), scopes) + middle + render(text.slice(found.index + whole.length), scopes)
}

function lookUp (path, scopes) {
  if (path === '.') return scopes[0]
  for (const scope of scopes) {
    const value = path.split('.').reduce((at, name) => at?.[name], scope)
    if (value !== undefined) return value
  }
  return undefined
}

/** The program and the arguments of a role in the deploy file. */
function commandOf (role) {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
  const section = text.slice(text.indexOf(`[roles.${role}]`))
  const [, run] = /\nrun = "([^"]+)"/.exec(section)
  const [program, ...args] = run.split(' ')
  return { program: program === 'node' ? process.execPath : program, args }
}

async function isFree (ip, port) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, ip, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds a part of the loopback network in which the ports of all machines are free. */
async function freePrefix (machines) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const ports = [FRONT_PORT, READINESS_PORT, CONTROL_PORT, APP_PORT, PORT_RANGE[0], PORT_RANGE[0] + 1, PORT_RANGE[0] + 2, METRICS_PORT]
    const free = await Promise.all(Array.from({ length: machines }, (_, index) => Promise.all(ports.map((port) => isFree(`${prefix}.${index + 1}`, port)))))
    if (free.flat().every(Boolean)) return prefix
  }
  throw new Error('no free loopback addresses')
}

/** One process of the system. */
class SystemProcess {
  constructor (deployment, machine, role) {
    this.deployment = deployment
    this.machine = machine
    this.role = role
    this.name = `${machine.name}-${role}`
    this.ended = true
    this.lives = 0
  }

  start (bootstrap) {
    const { folder } = this.deployment
    const settings = join(folder, `${this.name}.json`)
    writeFileSync(settings, render(readFileSync(join(repository, 'deploy/settings.template'), 'utf8'), [this.deployment.fieldsOf(this.machine, this.role, bootstrap)]))
    const { program, args } = commandOf(this.role)
    const log = openSync(this.logFile, 'a')
    const { PATH, HOME, LANG } = process.env
    this.child = spawn(program, args, { cwd: repository, env: { PATH, HOME, LANG, BRAMLEYFLOW_CONFIG: settings }, stdio: ['ignore', log, log] })
    closeSync(log)
    this.ended = false
    this.lives += 1
    const { child } = this
    child.once('exit', (code, signal) => {
      if (this.child !== child) return
      this.ended = true
      this.deployment.record('process-ended', { process: this.name, code, signal })
    })
  }

  get logFile () { return join(this.deployment.folder, `${this.name}.log`) }

  /** The lines of its log, parsed. */
  get events () {
    return readFileSync(this.logFile, 'utf8').split('\n').flatMap((line) => {
      try { return [JSON.parse(line)] } catch { return [] }
    })
  }

  signal (signal) {
    if (this.ended) return
    this.deployment.record('signal', { process: this.name, signal })
    this.child.kill(signal)
  }

  async whenEnded () {
    while (!this.ended) await sleep(10)
  }
}

/** Control hosts with an entry each, further entries, and machines beside workers. */
export class Deployment {
  constructor (options, prefix, record) {
    this.record = record
    this.folder = mkdtempSync(join(tmpdir(), 'bramleyflow-review-'))
    const { controls, entries, sides } = options
    const names = [...Array.from({ length: controls }, (_, index) => ['control', index]), ...Array.from({ length: entries }, (_, index) => ['entry', index]), ...Array.from({ length: sides }, (_, index) => ['side', index])]
    this.machines = names.map(([kind, index], position) => ({ kind, name: `${kind}-${index + 1}`, ip: `${prefix}.${position + 1}`, zone: `zone-${'abc'[index % 3]}` }))
    const rolesOf = { control: ['control', 'entry'], entry: ['entry'], side: ['agent'] }
    this.processes = this.machines.flatMap((machine) => rolesOf[machine.kind].map((role) => new SystemProcess(this, machine, role)))
  }

  static async create (options, record) {
    const prefix = await freePrefix(options.controls + options.entries + options.sides)
    return new Deployment(options, prefix, record)
  }

  machinesOf (kind) { return this.machines.filter((machine) => machine.kind === kind) }

  processOf (machine, role) { return this.processes.find((process) => process.machine === machine && process.role === role) }

  processesOn (machine) { return this.processes.filter((process) => process.machine === machine) }

  fieldsOf (machine, role, bootstrap) {
    const listen = { entry: { front: `${machine.ip}:${FRONT_PORT}`, readiness_addr: `${machine.ip}:${READINESS_PORT}` }, control: { control: `${machine.ip}:${CONTROL_PORT}` }, agent: { control: `${machine.ip}:${CONTROL_PORT}` } }[role]
    const dataFolder = join(this.folder, 'data', machine.name)
    mkdirSync(dirname(dataFolder), { recursive: true })
    return {
      node_id: machine.name,
      role,
      zone: machine.zone,
      region: 'region',
      ip: machine.ip,
      port_range: PORT_RANGE,
      seeds: this.machinesOf('control').map(({ ip }) => `${ip}:${CONTROL_PORT}`),
      bootstrap,
      ...role === 'control' && { data_dir: dataFolder },
      ...role === 'agent' && { app: `${machine.ip}:${APP_PORT}` },
      listen,
      limits: { disk_mb: role === 'control' ? 128 : 0, memory_mb: role === 'agent' ? 218 : 350, max_fds: 4100 },
      fault_tolerance: { machines: 1 },
      bounds
    }
  }

  start () { for (const process of this.processes) process.start(true) }

  signalMachine (machine, signal) { for (const process of this.processesOn(machine)) process.signal(signal) }

  /** The machine of the control host that began to lead last. */
  leader () {
    const led = this.machinesOf('control').flatMap((machine) => this.processOf(machine, 'control').events.filter(({ event }) => event === 'leading').map(({ term }) => ({ machine, term })))
    return led.sort((one, other) => other.term - one.term)[0]?.machine
  }

  /** Ends every process that was started, and removes the temporary folder. */
  async stop () {
    for (const process of this.processes) {
      if (process.ended) continue
      process.child.kill('SIGCONT')
      process.child.kill('SIGKILL')
    }
    await Promise.all(this.processes.map((process) => process.whenEnded()))
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
  }
}
