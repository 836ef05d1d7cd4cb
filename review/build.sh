#!/bin/sh
# The stand-ins of the cases are Python files; checks that they compile.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - ../tests/soak/*.py lib/*.py [1-9]/*.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, "rb") as file:
        compile(file.read(), name, "exec")
END
