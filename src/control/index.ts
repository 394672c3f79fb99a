export { ControlHost, type ControlOptions } from './host'
