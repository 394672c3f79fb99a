export * from './generated/control'
