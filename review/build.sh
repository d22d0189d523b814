#!/bin/sh
# Builds the stand-ins: they are Python and use only the standard library, so they are only compiled.
# The deploy file's `build` must have made .venv before.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
