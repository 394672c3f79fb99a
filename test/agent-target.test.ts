import { afterEach, beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { healthyTarget, isQuestionDue, questioned } from '../src/agent/target-watch'
import { Fault } from '../stand-ins'
import { AgentBench, summary } from './agent-bench'
import { until } from './until'

let bench: AgentBench
beforeEach(async () => { bench = await AgentBench.create() })
afterEach(async () => { await bench.close() })

const key = { job: 'job', attempt: 1 }
const later = { job: 'later', attempt: 1 }

test('a target that answers nothing is left, and taken again once it answers', async () => {
  await bench.attach()
  bench.target.fail({ fault: Fault.Silent })
  bench.control.reserve(key, { acceleratorMask: 0 })
  await bench.control.reply(key)
  bench.control.start(key, { milliseconds: 1 }, { idempotent: true })
  expect(summary(await bench.control.report(key))).toBe('failed may have run connection-broken')
  bench.control.reserve(later, { acceleratorMask: 0 })
  expect(await bench.control.reply(later)).toMatchObject({ granted: false, reason: 'target-silent' })
  bench.target.fail({ fault: Fault.None })
  await until(() => bench.logged.includes('target-answers'))
  const again = { job: 'again', attempt: 1 }
  expect(summary(await bench.control.run(again, { milliseconds: 1 }))).toBe('finished ran')
})

test('a target counts as silent after three questions in a row without an answer, whatever came before', () => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 30 }), (answers) => {
    const health = answers.reduce(questioned, healthyTarget)
    const lastAnswer = answers.lastIndexOf(true)
    expect(health.silent).toBe(answers.length - 1 - lastAnswer >= 3)
    expect(isQuestionDue(health, 0)).toBe(health.silent)
    expect(isQuestionDue(health, 60_000)).toBe(true)
  }), { seed: 20261204 })
})
