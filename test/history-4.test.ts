import { testHistories } from './histories'

testHistories(751, 1000)
