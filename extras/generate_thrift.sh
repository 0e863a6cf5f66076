#!/bin/sh
# Regenerates the committed thrift code; needs thrift-compiler 0.17 or later.
set -eu
cd "$(dirname "$0")/.."
rm -rf comfreyusher/peering/gen
thrift --gen py:slots -out . comfreyusher/peering/peer.thrift
rm -f __init__.py
