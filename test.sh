#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt run separately at the end: their
# results are printed but do not affect the exit status.
set -euo pipefail
cd "$(dirname "$0")"

known_red=()
if [ -f KNOWN-RED.txt ]; then
  while IFS= read -r line; do known_red+=("$line"); done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
skips=()
for test in "${known_red[@]}"; do skips+=(--skip "$test"); done

cargo test --locked --workspace --quiet -- "${skips[@]}"

for test in "${known_red[@]}"; do
  echo "known red: $test"
  cargo test --locked --workspace --quiet -- "$test" || echo "known red: $test still fails"
done
