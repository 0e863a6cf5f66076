#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: they are Python
# modules, so they are compiled. The libraries come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file"; exit 2; }
PYTHONPATH=target/deps:. exec python3 -m compileall -q review/second standins comfreyusher
