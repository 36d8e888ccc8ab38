/** The Node.js flags with which the service is started, read from its deploy file. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

const DEPLOY_FILE = new URL('../../../../deploy/service.toml', import.meta.url);

export function serviceFlags(): string[] {
  const { run } = parse(readFileSync(DEPLOY_FILE, 'utf8'));
  if (typeof run !== 'string') throw new TypeError('deploy/service.toml: no command to run');
  return run.split(' ').filter((word) => word.startsWith('--') && word !== '--config');
}
