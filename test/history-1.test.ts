import { keepsPromises } from './histories'

keepsPromises(1, 250)
