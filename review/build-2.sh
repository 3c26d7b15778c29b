#!/bin/sh
# Builds the stand-ins of cases 4 to 6. They are Python programs of the standard library alone, so
# this only checks that they compile; the controllers come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in lib-2/standins.py 4/case.py 5/case.py 6/case.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
