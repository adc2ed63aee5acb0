#!/bin/sh
# Makes the developers' environment where it is missing, and runs all checks and tests.
set -eu
cd "$(dirname "$0")/.."
env=${PEATTRESTLE_TEST_ENV:-.venv-dev}
sh tools/setup.sh "$env" requirements-dev.txt
"$env/bin/ruff" check peattrestle tests benchmarks
"$env/bin/ruff" format --check peattrestle tests benchmarks
"$env/bin/mypy"
"$env/bin/python" -m pytest -q "$@"
