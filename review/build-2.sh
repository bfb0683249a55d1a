#!/usr/bin/env bash
# Prepares the cases of the second review (4 and on). Their stand-ins are Python files that need no build and only the
# standard library; the daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 -m py_compile lib-2/*.py [4-8]/case.py
rm -rf lib-2/__pycache__ [4-8]/__pycache__
