#!/bin/sh
# Builds what the cases 9 to 13 start: the instances and the project's own stand-ins. All of them run
# from the sources with the libraries in target/deps, which the build of the deploy file places there.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m heatherkeel standin --help >/dev/null
PYTHONPATH=target/deps python3 -m heatherkeel instance --help >/dev/null
python3 -m py_compile review/rig_3.py
for case in review/9 review/10 review/11 review/12 review/13; do
    if [ -f "$case/case.py" ]; then python3 -m py_compile "$case/case.py"; fi
done
