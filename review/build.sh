#!/usr/bin/env bash
# Builds what the scripts start: the program's libraries, which the stand-ins use as well.
# Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(PYTHONPATH=target/deps python3 -c '
import tomllib
with open("deploy/system.toml", "rb") as file:
    print(tomllib.load(file)["build"])')
bash -c "$build"
PYTHONPATH=target/deps python3 -c 'import heatherkeel.standins.users_platform, httpcore'
