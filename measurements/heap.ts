/** An item ordered by time, then by sequence number. */
export interface Timed {
  readonly at: number
  readonly sequence: number
}

/** A binary min-heap by time; items of the same time come out in the order of their sequence numbers. */
export class Heap<Item extends Timed> {
  private readonly items: Item[] = []

  get size (): number { return this.items.length }
  get first (): Item | undefined { return this.items[0] }

  push (item: Item): void {
    let position = this.items.push(item) - 1
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!isEarlier(item, this.items[parent]!)) break
      this.items[position] = this.items[parent]!
      position = parent
    }
    this.items[position] = item
  }

  pop (): Item | undefined {
    const first = this.items[0]
    const last = this.items.pop()
    if (first === undefined || last === undefined || this.items.length === 0) return first
    let position = 0
    for (;;) {
      let child = 2 * position + 1
      if (child >= this.items.length) break
      if (child + 1 < this.items.length && isEarlier(this.items[child + 1]!, this.items[child]!)) child++
      if (!isEarlier(this.items[child]!, last)) break
      this.items[position] = this.items[child]!
      position = child
    }
    this.items[position] = last
    return first
  }
}

function isEarlier (one: Timed, other: Timed): boolean {
  return one.at < other.at || (one.at === other.at && one.sequence < other.sequence)
}
