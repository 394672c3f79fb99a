/** A replica in its own process. As leader it proposes one value after another and prints each one once it is committed. */
import { Server, ServerCredentials } from '@grpc/grpc-js'
import { Replica, AgreementRole } from '../src/control/replica'

const PROPOSAL_INTERVAL_MILLISECONDS = 2
const [folder = '', address = '', bootstrap = ''] = process.argv.slice(2)
const server = new Server()
let values: string[] = []
let proposedCount = 0

const created = await Replica.create({
  folder,
  address,
  bootstrap: bootstrap.split(','),
  host: address,
  server,
  snapshotBytes: 20_000,
  onCommit: (entries) => {
    for (const entry of entries) if (entry.data.length > 0) onCommitted(Buffer.from(entry.data).toString())
  },
  onRestore: (snapshot) => { values = JSON.parse(Buffer.from(snapshot).toString()) as string[] },
  takeSnapshot: () => Buffer.from(JSON.stringify(values)),
  onRole: (role) => {
    if (role !== AgreementRole.Leader) return
    console.log(`leader ${values.join(' ')}`)
    propose()
  },
  log: () => {}
})
const replica = created._unsafeUnwrap()

function propose (): void {
  replica.propose(Buffer.from(`${process.pid}-${++proposedCount}`))
}

function onCommitted (value: string): void {
  values.push(value)
  if (!value.startsWith(`${process.pid}-`)) return
  console.log(`committed ${value}`)
  setTimeout(propose, PROPOSAL_INTERVAL_MILLISECONDS)
}

server.bindAsync(address, ServerCredentials.createInsecure(), () => { replica.start() })
