#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they need Python's own library only, so
# this compiles them and fails if one is malformed.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]*
