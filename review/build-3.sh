#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they need Python and its library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib

for path in (
    pathlib.Path('rig3.py'),
    pathlib.Path('replica3.py'),
    *pathlib.Path('.').glob('1[1-5]/*.py'),
):
    compile(path.read_text(), str(path), 'exec')
P
