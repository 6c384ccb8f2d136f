#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python programs of this folder, which need Python 3 and no
# other package. The node is built by the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as it:
        compile(it.read(), path, "exec")
CHECK
