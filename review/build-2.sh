#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the agent: stand-ins in Python, of its library
# alone, so there is nothing to compile or fetch. Checks that they can be loaded by the deploy file's environment.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-2 .venv-node/bin/python -c "import deployment"
