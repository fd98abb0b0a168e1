#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins/object_store.py review
