#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript of this repository without dependencies, so there is
# nothing to translate: this checks that each of them can be loaded.
set -eu
cd "$(dirname "$0")"
for file in shared-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
