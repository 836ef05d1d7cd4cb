#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs on the standard library: this
# checks that they compile and that their imports are there.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py ../tests/soak/standin.py ../tests/soak/events.py; do
  if [ -f "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse (open (sys.argv[1]).read ())' "$file"
  fi
done
PYTHONPATH=lib-3 python3 -B -c 'import bed, plain'
