#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain JavaScript beside them; they need the build of the deploy file and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/bramleyflow.cjs || { echo 'target/bramleyflow.cjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
for file in review/shared-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
