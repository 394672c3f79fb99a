import { keepsPromises } from './histories'

keepsPromises(251, 500)
