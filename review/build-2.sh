#!/bin/sh
# The stand-ins of these cases need the standard library of Python alone.
cd "$(dirname "$0")" && exec python3 -c "
import ast, glob
for path in [*glob.glob('shared-2/*.py'), *glob.glob('[6-9]/*.py'), *glob.glob('10/*.py')]:
    ast.parse(open(path, encoding='utf-8').read(), path)
"
