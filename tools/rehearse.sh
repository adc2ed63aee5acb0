#!/bin/sh
# Makes the program's environment where it is missing, and plays a script: the bad day, or the one named.
set -eu
cd "$(dirname "$0")/.."
sh tools/setup.sh .venv-run requirements-run.txt
exec .venv-run/bin/peattrestle rehearse "${@:-examples/bad-day.hcl}"
