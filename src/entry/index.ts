export { EntryHost, type EntryOptions } from './entry-host'
