/**
 * The records in the state service: their keys and their stored forms. Each fact is stored in one record only; data
 * that can be derived is not stored. The short field names of the stored forms are used only in this folder.
 *
 * Decoders do not validate the stored form: `schemas.ts` checks every record that is read before it is decoded.
 */
export * from './domain.js';
export * from './job.js';
export * from './keys.js';
export * from './machine.js';
