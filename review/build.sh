#!/bin/sh
# The stand-ins of the cases are Python programs; this checks that they can be run.
set -eu
cd "$(dirname "$0")"
python3 -B - standins/standins.py [1-5]/case.py <<'END'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("checked", path)
END
