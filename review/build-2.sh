#!/bin/sh
# Prepares what the scripts of review/4 to review/8 start, after the build of the deploy file: the
# project's own stand-ins run from its source with the libraries in target/deps, and deployment_2.py
# needs the standard library alone. Nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/trio || { echo "target/deps is missing: run the build of the deploy file first" >&2; exit 1; }
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -m heatherkeel standin users-platform --help > /dev/null
python3 -m heatherkeel standin worker --help > /dev/null
for file in review/deployment_2.py review/[4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "ready"
