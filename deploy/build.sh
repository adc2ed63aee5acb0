#!/bin/sh
# The stamp is written last, so that a build broken off half way is done again.
set -eu
stamp=.venv/.complete
if [ -f "$stamp" ] && cmp -s requirements.txt "$stamp" && .venv/bin/python -c "" 2>/dev/null; then
    exit 0
fi
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
cp requirements.txt "$stamp"
