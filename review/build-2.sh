#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need only Python's
# standard library, so that nothing is installed.
cd "$(dirname "$0")" || exit 2
python3 -m py_compile standins_2.py replica_2.py
