#!/usr/bin/env bash
# Checks that the stand-ins compile. They need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
