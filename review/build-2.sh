#!/bin/sh
# Builds the stand-ins of the cases in review/4/ to review/8/. They are Python programs that need
# nothing but the standard library, so this compiles them, and checks that what the build of the
# deploy file has placed under target/ is there and that the stand-ins can be loaded.
cd "$(dirname "$0")/.." || exit 2
set -e
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("expected Python 3.11 or later, got " + sys.version.split()[0])
for path in sorted(pathlib.Path("review").glob("[4-8]/*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
if not pathlib.Path("target/deps/beryljunction").is_dir():
    sys.exit("expected target/deps/beryljunction: run the build of deploy/system.toml first")
PY
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/4 python3 -c "import kit"
echo "the stand-ins of review/ are built"
