#!/bin/sh
# After the build of the deploy file: adds the packages of requirements-ops.txt, which the DNS front (review/7) and
# recovery (review/10) need (README.md, "Build and start"), and compiles the stand-ins, which are plain Python.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -c "import dns.message, apsw" 2>/dev/null || .venv/bin/pip -q install -r requirements-ops.txt || exit 2
exec .venv/bin/python -m py_compile review/standins_2.py
