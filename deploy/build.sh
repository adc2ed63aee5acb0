#!/bin/sh
# Two environments: the simulator's, which needs nothing, and that of the call agent in service. Both are
# byte-compiled, since the file system is read-only where they run.
# The stamps are written last, so that a build broken off half way is done again.
set -eu
make() {
    env=$1 needs=$2 stamp=$1/.complete
    if [ -f "$stamp" ] && cmp -s "$needs" "$stamp" && "$env/bin/python" -c "" 2>/dev/null; then
        return
    fi
    rm -rf "$env"
    python3 -m venv "$env"
    "$env/bin/pip" -q install --disable-pip-version-check -r "$needs"
    cp "$needs" "$stamp"
}
make .venv requirements.txt
make .venv-node requirements-node.txt
.venv-node/bin/python -m compileall -q peattrestle .venv-node/lib
