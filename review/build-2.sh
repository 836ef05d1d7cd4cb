#!/bin/sh
# Builds what the scripts of the second review (review/6 to review/10) start beside the programs
# of the deploy file. Their stand-ins are Python programs of lib-2/ and tests/soak/standin.py,
# which need no build; this checks that they can be read. The programs come from the build line
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in tests/soak/standin.py review/lib-2/*.py review/[6-9]/*.py review/10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
