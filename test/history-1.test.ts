import { testHistories } from './histories'

testHistories(1, 250)
