/** Operations on queues as log lines name them. */
import { QueueOperation } from './generated/control'

/** The word for each operation; a number that no program of this version sends has none. */
export const operationWords: { readonly [operation in QueueOperation]?: string } = {
  [QueueOperation.SUBMIT]: 'submit',
  [QueueOperation.SHOW]: 'show',
  [QueueOperation.CANCEL]: 'cancel'
}
