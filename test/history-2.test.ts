import { testHistories } from './histories'

testHistories(251, 500)
