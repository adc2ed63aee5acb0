#!/bin/sh
# Makes an environment with a set of pinned requirements and the program in it; done once for each set.
#   sh tools/setup.sh FOLDER REQUIREMENTS
# The stamp is written last, so that a build broken off half way is done again.
set -eu
env=$1 needs=$2 stamp=$1/.complete
if [ -f "$stamp" ] && cat requirements-run.txt "$needs" | cmp -s - "$stamp"; then
    exit 0
fi
rm -rf "$env"
python3 -m venv "$env"
"$env/bin/pip" -q install --disable-pip-version-check -r "$needs"
"$env/bin/pip" -q install --disable-pip-version-check --no-deps --no-build-isolation -e .
# The settings' grammar takes some seconds to build and is kept beside its library.
"$env/bin/python" -c "import hcl2; hcl2.loads('a = 1\n')"
cat requirements-run.txt "$needs" > "$stamp"
