#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 python3 review/5/check.py
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
