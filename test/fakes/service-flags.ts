/** The flags of Node that the service is started with, from its deploy file. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

const DEPLOY_FILE = new URL('../../../../deploy/service.toml', import.meta.url);

export function serviceFlags(): string[] {
  return String(parse(readFileSync(DEPLOY_FILE, 'utf8'))['run'])
    .split(' ')
    .filter((word) => word.startsWith('--') && word !== '--config');
}
