import { keepsPromises } from './histories'

keepsPromises(501, 750)
