#!/bin/sh
# Prepares the stand-ins of the cases. They are Python 3 of the standard library only, so nothing is compiled;
# this checks that each of them can be loaded. The program comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in common/*.py [1-5]/*.py; do
    if [ -f "$file" ]; then
        python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
