/**
 * The records kept in the state service: their keys, and how each is stored. Each fact has one record; whatever can
 * be derived is derived. The short fields of the stored form appear in this folder alone.
 *
 * Decoders take the stored form for granted: `schemas.ts` checks every record that is read before it is decoded.
 */
export * from './domain.js';
export * from './job.js';
export * from './keys.js';
export * from './machine.js';
