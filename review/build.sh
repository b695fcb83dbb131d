#!/bin/sh
# Checks the stand-ins and cases, which need the standard library alone.
cd "$(dirname "$0")" && exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
'
