#!/bin/sh
# The stand-ins are plain JavaScript. They need the packages and the program that the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 1
test -f target/service.cjs && test -d node_modules/cbor-x || {
  echo 'run the build line of deploy/service.toml first' >&2
  exit 1
}
for file in review/lib/*.js review/[0-9]/*.js; do
  node --check "$file" || exit 1
done
