#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review. The gateway is
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile standins/__init__.py standins/object_store.py \
  standins/scripted_endpoint.py review/deployment.py review/engines.py \
  review/[678]/case.py
test -d target/deps
