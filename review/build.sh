#!/usr/bin/env bash
# The stand-ins of the cases are Python programs that use the standard library alone: checks that
# python3 reads them. They are started from their sources.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text("utf-8"), str(path))
CHECK
