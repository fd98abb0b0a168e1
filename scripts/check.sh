#!/usr/bin/env bash
# Installs the development dependencies into .venv and runs all checks.
# BURDOCKSPAN_VENV selects another virtual environment.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${BURDOCKSPAN_VENV:-.venv}"
if [ ! -x "$venv/bin/python" ]; then
  python3 -m venv "$venv"
fi
"$venv/bin/python" -m pip install --quiet --disable-pip-version-check \
  --editable '.[dev]' 2>&1 | grep -v '^WARNING: Location' || true
export HYPOTHESIS_PROFILE=ci
"$venv/bin/ruff" format --check .
"$venv/bin/ruff" check .
"$venv/bin/mypy"
"$venv/bin/python" -m nose2 -t . -s tests "$@"
