import { afterEach, beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { healthyTarget, isHealthCheckDue, recordHealthCheck } from '../src/agent/target-health'
import { Fault } from '../stand-ins'
import { AgentFixture, summary } from './agent-fixture'
import { until } from './until'

let fixture: AgentFixture
beforeEach(async () => { fixture = await AgentFixture.create() })
afterEach(async () => { await fixture.close() })

const key = { job: 'job', attempt: 1 }
const later = { job: 'later', attempt: 1 }

test('a silent target gets no work until it passes a health check again', async () => {
  await fixture.attach()
  fixture.target.setFault({ fault: Fault.Silent })
  fixture.control.reserve(key, { acceleratorMask: 0 })
  await fixture.control.reply(key)
  fixture.control.start(key, { milliseconds: 1 }, { idempotent: true })
  expect(summary(await fixture.control.report(key))).toBe('failed may have run connection-broken')
  fixture.control.reserve(later, { acceleratorMask: 0 })
  expect(await fixture.control.reply(later)).toMatchObject({ granted: false, reason: 'target-silent' })
  fixture.target.setFault({ fault: Fault.None })
  await until(() => fixture.logged.includes('target-answers'))
  const again = { job: 'again', attempt: 1 }
  expect(summary(await fixture.control.run(again, { milliseconds: 1 }))).toBe('finished ran')
})

test('a target counts as silent after three failed health checks in a row, whatever came before', () => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 30 }), (outcomes) => {
    const health = outcomes.reduce(recordHealthCheck, healthyTarget)
    const lastAnswer = outcomes.lastIndexOf(true)
    expect(health.silent).toBe(outcomes.length - 1 - lastAnswer >= 3)
    expect(isHealthCheckDue(health, 0)).toBe(health.silent)
    expect(isHealthCheckDue(health, 60_000)).toBe(true)
  }), { seed: 20261204 })
})
