#!/bin/sh
# Builds the stand-ins of the review's cases: byte-compiles them with the interpreter that the build of the
# deploy file makes (.venv-node). They need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")/.."
test -x .venv-node/bin/python || { echo "build.sh: run 'sh deploy/build.sh' first" >&2; exit 2; }
.venv-node/bin/python -m compileall -q review
