#!/usr/bin/env bash
# Builds what the cases 4 to 8 start. Their stand-ins (lib-2) are plain JavaScript and use a package of the project's own
# installation, so there is nothing to compile: this checks that all of it is there and can be loaded.
set -eu
cd "$(dirname "$0")/.."
test -f target/service.cjs || { echo 'target/service.cjs is missing: run the build line of deploy/service.toml' >&2; exit 2; }
for file in review/lib-2/*.js review/[4-8]/*.js; do
  node --check "$file"
done
node --input-type=module -e "await import('./review/lib-2/deployment.js')"
echo 'review/lib-2: ready'
