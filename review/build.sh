#!/usr/bin/env bash
# Checks the stand-ins and the cases: they are plain JavaScript on Node's own modules, so there is nothing to bundle.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared/*.mjs [1-5]/*.mjs; do node --check "$file"; done
