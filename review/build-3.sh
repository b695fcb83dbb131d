#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the gateways: stand-ins of
# the standard library alone, so that they are only checked and compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in shared-3 11 12 13 14 15; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
