/** The settings file and the operator's file: unknown fields, and errors that name the invalid setting. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConfigError } from '../src/config/config-error.js';
import { parseOperatorSettings } from '../src/config/operator.js';
import { parseSettings } from '../src/config/settings.js';
import { SeededRandom } from './fakes/time.js';

const SETTINGS = `
host_name = "a"
zone = "x"
serve_on = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
new_field = 3
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
size = 1
zones = ["x"]
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 30.0
[settings.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 5.0
list_lag_s = 8.0
[settings.quota]
cpu_share = 0.2
memory_mb = 100.0
max_sockets = 500
`;
void test('settings: unknown fields are ignored', () => {
  assert.equal(parseSettings(SETTINGS).controller, 'a');
});
void test('settings: objectives of unknown kinds or with malformed fields are left out', () => {
  const objectives = [
    'kind = "deadline"\nclass = "k"\nshare = 0.9\ntimes = 1.5',
    'kind = "mood"\nshare = "good"',
    'kind = "wait"\nwithin_s = "soon"',
    'colour = "red"',
  ];
  const text = objectives.map((objective) => `[[settings.objectives]]\n${objective}\n`).join('');
  const { serviceLevelObjectives } = parseSettings(SETTINGS + text);
  assert.deepEqual(serviceLevelObjectives, [
    { kind: 'deadline', jobClass: 'k', share: 0.9, deadlineMultiple: 1.5 },
  ]);
});
void test('settings: a corrupted file parses or fails with a ConfigError, never with another error', () => {
  const random = new SeededRandom(11);
  const lines = SETTINGS.split('\n');
  for (let round = 0; round < 400; round++) {
    const noisy = [...lines];
    const at = random.int(0, lines.length - 1);
    const line = lines[at] ?? '';
    const cut = random.int(0, line.length);
    noisy[at] = line.slice(0, cut) + String.fromCharCode(random.int(1, 255)) + line.slice(cut + 1);
    try {
      parseSettings(noisy.join('\n'));
    } catch (error) {
      assert.ok(error instanceof ConfigError && error.message.startsWith('settings: '), line);
    }
  }
});
const INVALID_SETTINGS: [line: string, replacement: string, settingName: string][] = [
  ['lease_s = 10.0', 'lease_s = 50.0', 'cancel_s'],
  ['lease_s = 10.0', 'lease_s = "x"', 'lease_s'],
  ['size = 1', 'size = 0', 'size'],
  ['serve_on = "127.0.0.1:1"', 'serve_on = "here"', 'serve_on'],
  ['host_name = "a"', '', 'host_name'],
  ['zone = "x"', 'zone = ', 'settings'],
  ['size = 1', 'size = 10', 'settings.state.txn_ops'],
  ['value_kb = 4.0', 'value_kb = 0.001', 'settings.state.value_kb'],
  ['memory_mb = 100.0', 'memory_mb = 20.0', 'settings.quota.memory_mb'],
  ['memory_mb = 100.0', 'memory_mb = nan', 'settings.quota.memory_mb'],
  ['cpu_share = 0.2', 'cpu_share = 0.0', 'settings.quota.cpu_share'],
  ['cpu_share = 0.2', 'cpu_share = -1.0', 'settings.quota.cpu_share'],
  ['max_sockets = 500', 'max_sockets = 3', 'settings.quota.max_sockets'],
];
for (const [from, to, settingName] of INVALID_SETTINGS)
  void test(`settings: ${to || `no ${from}`} is refused with an error that names the setting`, () => {
    assert.throws(
      () => parseSettings(SETTINGS.replace(from, to)),
      (error) => error instanceof ConfigError && error.message.includes(settingName),
    );
  });
/** Contents of the operator's file, each with the setting that the error names; null if the file is valid. */
const OPERATOR_FILES: [text: string, invalidSetting: string | null][] = [
  ['', null],
  ['[failover]\nmissed_renewals = 4\n[fleet]\nrent = false', null],
  ['[failover]\nmissed_renewals = 0', 'failover.missed_renewals'],
  ['[fleet]\nrent = maybe', 'fleet.rent'],
  ['[fleet]\ncolour = red', 'fleet.colour'],
  ['stray = 1', 'stray'],
];
for (const [source, invalidSetting] of OPERATOR_FILES)
  void test(`operator: ${JSON.stringify(source)}`, () => {
    if (invalidSetting === null) parseOperatorSettings(source);
    else
      assert.throws(
        () => parseOperatorSettings(source),
        (error) => error instanceof ConfigError && error.message.includes(invalidSetting),
      );
  });
