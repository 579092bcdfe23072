#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build.sh.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/review ] || exit 2
exec target/review/review attempts "$folder/record.txt"
