import js from '@eslint/js';
import { createNodeResolver, importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** The layers of src/, lowest first: no module imports from a layer above its own. */
const LAYERS = [
  ['src/errors.ts', 'src/util', 'src/clock.ts'],
  ['src/model'],
  ['src/wire', 'src/log.ts', 'src/metrics.ts', 'src/memory-guard.ts'],
  ['src/protocol'],
  ['src/config'],
  ['src/store'],
  ['src/mesh', 'src/cloud'],
  ['src/domain'],
  ['src/workers'],
  ['src/jobs'],
  ['src/placement'],
  ['src/fleet'],
];

/** For each layer, the layers above it, which it must not import. */
const layerZones = LAYERS.slice(0, -1).flatMap((targets, index) =>
  targets.map((target) => ({
    target,
    from: LAYERS.slice(index + 1).flat(),
    message: 'This layer is above; see docs/architecture.md.',
  })),
);

/** Fields of the wire and of stored records; src/protocol and src/store/records map them to the model's names. */
const EDGE_FIELDS =
  '/^(box|boxes|tenure|tick|steward|orders|verb|drain_s|flush_s|snapshot_s|jobclass|cards|flavor|flavors|sku|reclaimable|one_zone|expect_s|due_s|low_price|ready_s|memory_gb|image_gb|warning_s|held_s|uid|epoch|stamp|generation|rank|shape|txn_ops|value_kb|write_rps|report_s|lease_s|cancel_s|list_lag_s|host_name|serve_on|internal_addr)$/';

const edgeFieldRule = {
  selector: `Identifier[name=${EDGE_FIELDS}]`,
  message:
    'A field of the wire or of a stored record: map it in src/protocol or src/store/records.',
};

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    files: ['**/*.ts'],
    plugins: { 'import-x': importX, jsdoc },
    settings: {
      // Sources import each other by the names of the compiled files.
      'import-x/resolver-next': [
        createNodeResolver({
          extensions: ['.ts', '.js'],
          extensionAlias: { '.js': ['.ts', '.js'] },
        }),
      ],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
    },
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 50, skipBlankLines: true, skipComments: true }],
      'max-params': ['error', 4],
      complexity: ['error', 12],
      'id-length': [
        'error',
        {
          min: 2,
          properties: 'never',
          exceptions: ['_', 'a', 'b', 'v', 'n', 'K', 'V', 'T', 'L', 'x', 'y'],
        },
      ],
      'no-restricted-syntax': ['error', edgeFieldRule],
      '@typescript-eslint/dot-notation': ['error', { allowIndexSignaturePropertyAccess: true }],
      'import-x/no-restricted-paths': ['error', { zones: layerZones }],
      'import-x/no-cycle': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
    },
  },
  { files: ['**/*.js'], extends: [tseslint.configs.disableTypeChecked] },
  {
    files: ['src/protocol/**', 'src/store/records/**', 'src/config/**', 'test/**'],
    rules: { 'no-restricted-syntax': 'off' },
  },
  {
    files: ['test/**'],
    rules: { 'jsdoc/require-jsdoc': 'off' },
  },
);
