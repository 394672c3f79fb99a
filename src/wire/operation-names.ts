/** Names of queue operations in log lines. */
import { QueueOperation } from './generated/control'

/** Name of each operation. Unknown numbers, which only a newer version could send, have no name. */
export const operationNames: { readonly [operation in QueueOperation]?: string } = {
  [QueueOperation.SUBMIT]: 'submit',
  [QueueOperation.SHOW]: 'show',
  [QueueOperation.CANCEL]: 'cancel'
}
