import { testHistories } from './histories'

testHistories(501, 750)
