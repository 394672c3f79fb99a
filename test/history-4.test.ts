import { keepsPromises } from './histories'

keepsPromises(751, 1000)
