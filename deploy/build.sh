#!/bin/sh
# Installs the packages of the gateway into target/deps, unless it holds all of them for
# this interpreter and machine. A build that was interrupted leaves no such folder.
set -eu
cd "$(dirname "$0")/.."
key=$(python3 -c '
import hashlib, pathlib, platform, sys
packages = pathlib.Path("deploy/requirements.txt").read_bytes()
print(sys.version_info[:2], platform.machine(), hashlib.sha256(packages).hexdigest())
')
if [ "$(cat target/deps/.built 2>/dev/null)" != "$key" ]; then
    rm -rf target/deps target/deps.new
    python3 -m pip install -q -U --target target/deps.new -r deploy/requirements.txt
    echo "$key" > target/deps.new/.built
    mv target/deps.new target/deps
fi
