import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Writable } from 'node:stream'
import { Cli } from 'clipanion'
import { expect, onTestFinished, test, vi } from 'vitest'
import { createCommandLine } from '../src/command/command-line'
import { lineDigest } from '../src/core/record-verify'
import { FakeLog } from './fake-entry-control'
import { send, startControls, startEntry, until } from './entry-fixture'

interface CommandResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

function collector (): { stream: Writable, text: () => string } {
  const chunks: string[] = []
  const stream = new Writable({ write: (chunk, _encoding, done) => { chunks.push(String(chunk)); done() } })
  return { stream, text: () => chunks.join('') }
}

async function run (...words: string[]): Promise<CommandResult> {
  const [stdout, stderr] = [collector(), collector()]
  const code = await createCommandLine().run(words, { ...Cli.defaultContext, stdout: stdout.stream, stderr: stderr.stream })
  return { code, stdout: stdout.text(), stderr: stderr.text() }
}

async function file (name: string, content: unknown): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bramleyflow-command-'))
  onTestFinished(() => rm(folder, { recursive: true }))
  const path = join(folder, name)
  await writeFile(path, typeof content === 'string' ? content : JSON.stringify(content))
  return path
}

const commandLine = createCommandLine()

test('every command has a description in the help', () => {
  for (const { path, description } of commandLine.definitions()) expect([path, description ?? '']).not.toContain('')
  expect(commandLine.definitions().map(({ path }) => path.replace('bramleyflow ', '')).sort().join('\n')).toMatchSnapshot()
})

test('exit codes distinguish requests that did not run from those that may have run', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const caller = ['--entry', entry.address, '--token', 'hue-token']
  const codes: Array<[string, number]> = []
  const note = async (name: string, ran: Promise<CommandResult>): Promise<CommandResult> => {
    const result = await ran
    codes.push([name, result.code])
    return result
  }
  await note('accepted', run('job', 'submit', ...caller, '--identifier', 'a', '--accelerators', '2'))
  control!.log.move('a', { state: 'failed', reason: 'may-have-run', verdict: 2, endedAt: 1 })
  await note('may have run', run('job', 'answer', ...caller, 'a'))
  await note('accepted', run('job', 'submit', ...caller, '--identifier', 'b'))
  control!.log.move('b', { state: 'failed', reason: 'over-limit', verdict: 3, endedAt: 1 })
  await note('ran without an answer', run('job', 'answer', ...caller, 'b'))
  await note('accepted', run('job', 'submit', ...caller, '--identifier', 'c'))
  await note('cancelled before it ran', run('job', 'cancel', ...caller, 'c'))
  await note('answer of a cancelled job', run('job', 'answer', ...caller, 'c', '--wait'))
  await note('refused', run('job', 'submit', ...caller, '--accelerators', '9'))
  await note('no such token', run('job', 'list', '--entry', entry.address, '--token', 'guess'))
  await note('wrong command line', run('job', 'submit', ...caller, '--accelerators', 'two'))
  await note('missing file', run('job', 'submit', ...caller, '--file', 'no-such-file.json'))
  const nowhere = await startControls(1)
  nowhere[0]!.kill()
  await note('no entry there', run('job', 'submit', '--entry', nowhere[0]!.address, '--token', 'x'))
  expect(codes).toMatchSnapshot()
})

test('a connection that breaks during a submission exits with may-have-run and prints the identifier; a broken read exits with not-run', async () => {
  const { createServer } = await import('node:net')
  const server = createServer((socket) => { socket.once('data', () => socket.destroy()) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  onTestFinished(() => { server.close() })
  const { port } = server.address() as { port: number }
  const submitted = await run('job', 'submit', '--entry', `127.0.0.1:${port}`, '--token', 'x', '--identifier', 'a')
  expect([submitted.code, submitted.stderr.split('\n').at(-2)]).toEqual([3, 'look it up with: bramleyflow job show a'])
  expect((await run('job', 'show', '--entry', `127.0.0.1:${port}`, '--token', 'x', 'a')).code).toBe(2)
})

test('the answer is written to standard output byte for byte', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const waiting = run('job', 'submit', '--entry', entry.address, '--token', 'hue-token', '--identifier', 'a', '--wait', '--payload', 'text')
  await until(() => control!.log.jobs.has('a'))
  control!.log.finish('a', 'bytes\u0000 of the answer')
  expect(await waiting).toEqual({ code: 0, stdout: 'bytes\u0000 of the answer', stderr: '' })
})

test('operators check and replace the document, drain and list workers, and transfer the leadership', async () => {
  const [control] = await startControls(1)
  const entry = await startEntry([control!.address])
  const operator = ['--entry', entry.address, '--token', 'platform-token']
  const sections = await file('sections.json', { maintenance: { dataCentres: [], racks: ['r1'], workers: [] } })
  const ran = [
    await run('configuration', 'check', ...operator, sections),
    await run('configuration', 'put', ...operator, sections),
    await run('configuration', 'put', ...operator, sections, '--read', 'maintenance=1'),
    await run('configuration', 'get', ...operator, '--section', 'maintenance'),
    await run('worker', 'drain', ...operator, 'worker-1'),
    await run('worker', 'list', ...operator),
    await run('control', 'transfer', ...operator),
    await run('configuration', 'put', ...operator, await file('broken.json', '{'))
  ]
  expect(ran.map(({ code, stdout, stderr }) => `${code}\n${stdout}${stderr.replace(/\S*\/broken.json/, 'broken.json')}`).join('\n')).toMatchSnapshot()
})

test('an exported audit trail is verified without an entry, and a changed line is detected', async () => {
  const first = JSON.stringify({ sequence: 1, kind: 'accept-job', at: 0, account: 'hue', job: 'a', state: 'queued', reason: 'submitted', previous: '0'.repeat(64) })
  const second = JSON.stringify({ sequence: 2, kind: 'finish-job', at: 5, account: 'hue', job: 'a', attempt: 1, state: 'finished', verdict: 'ran', previous: lineDigest(first) })
  const whole = await file('export.jsonl', `${first}\n${second}\n`)
  const changed = await file('changed.jsonl', `${first.replace('hue', 'chain')}\n${second}\n`)
  const verified = await run('audit', 'verify', whole)
  expect([verified.code, verified.stdout.split('\n')[0]]).toEqual([0, '2 lines, 1 to 2: the chain is intact'])
  expect((await run('audit', 'verify', whole, '--head', `3:${'0'.repeat(64)}`)).code).toBe(7)
  expect((await run('audit', 'verify', changed)).code).toBe(7)
  expect((await run('audit', 'account', 'hue', '--file', changed)).code).toBe(7)
  expect((await run('audit', 'account', 'hue', '--file', whole)).stdout).toContain('Jobs: 1 accepted, 1 finished once, 0 finished more than once, 0 failed and not run, 0 failed and may have run, 0 cancelled, 0 open.')
})

const settings = (extra: object): object => ({
  host: 'a', region: 'r', dataCentre: 'd', roles: ['entry'], controlHosts: ['127.0.0.1:1'], entry: { address: '127.0.0.1:0' }, logLevel: 'silent', ...extra
})

/** Runs serve until it ends; the test sends the signals. */
async function serve (content: unknown, whenUp?: () => Promise<void>): Promise<CommandResult> {
  vi.spyOn(process, 'exit').mockImplementation((() => undefined) as never)
  onTestFinished(() => { process.removeAllListeners('SIGTERM').removeAllListeners('SIGINT') })
  const ran = run('serve', '--settings', await file('settings.json', content))
  await whenUp?.()
  return ran
}

test('serve that cannot start prints the reason and exits with code 5', async () => {
  const [control] = await startControls(1)
  const taken = await serve(settings({ entry: { address: control!.address } }))
  expect([taken.code, taken.stderr.replace(control!.address, 'ADDRESS')]).toEqual([5, 'cannot start: listen EADDRINUSE: address already in use ADDRESS\n'])
  const folder = join(await file('a-file', ''), 'data')
  const unwritable = await serve(settings({ roles: ['control'], control: { address: '127.0.0.1:0', folder, voters: ['127.0.0.1:1'] } }))
  expect([unwritable.code, unwritable.stderr.split('\n')]).toEqual([5, [expect.stringContaining('a-file'), '']])
  const certificate = await serve(settings({ tls: { certificate: 'none', key: 'none', authority: 'none' } }))
  expect([certificate.code, certificate.stderr]).toEqual([5, 'cannot start: ENOENT: no such file or directory, open \'none\'\n'])
  const invalid = await serve({ roles: ['entry'], colour: 1 })
  expect([invalid.code, invalid.stderr.split('\n').length]).toEqual([5, 6])
})

test('the first signal stops gracefully; the second one ends at once and prints the role that had not finished', async () => {
  const [control] = await startControls(1, new FakeLog())
  const port = await startControls(1)
  const address = port[0]!.address
  port[0]!.kill()
  const signal = (): void => { process.emit('SIGTERM') }
  const content = settings({ controlHosts: [control!.address], entry: { address, stopDeadlineSeconds: 60 } })
  const up = async (): Promise<void> => { await until(() => send({ address } as never, 'GET', '/readyz').then(({ status }) => status === 200, () => false)) }
  const graceful = await serve(content, async () => {
    await up()
    signal()
  })
  process.removeAllListeners('SIGTERM')
  expect([graceful.code, graceful.stderr]).toEqual([0, ''])
  const hurried = await serve(content, async () => {
    await up()
    send({ address } as never, 'POST', '/jobs?wait=true', { token: 'hue-token', body: { identifier: 'a', shape: { accelerators: 1 }, payload: { base64: '' } } }).catch(() => undefined)
    await until(() => control!.log.jobs.has('a'))
    signal()
    signal()
  })
  expect([hurried.code, hurried.stderr]).toEqual([6, 'entry: ended before its graceful stop had finished\n'])
  control!.log.finish('a', 'late')
})
