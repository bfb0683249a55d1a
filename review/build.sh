#!/usr/bin/env bash
# The stand-ins are Python programs on the standard library alone: nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"'
