#!/usr/bin/env bash
# Measures the overhead of the control traffic: runs deployments of the given
# numbers of entries without requests from callers and prints the CPU usage and
# memory per process and the loopback traffic per entry.
#
#   bench/scale.sh [ENTRIES ...]      (default: 4 8 16 32)
set -euo pipefail
cd "$(dirname "$0")/.."

WORK=target/scale
BIN=target/release
PORT=18400
SECONDS_MEASURED=${SCALE_SECONDS:-10}
ENGINES_PER_ENTRY=${SCALE_ENGINES_PER_ENTRY:-1}
TOKEN=scale-token

cargo build --release --locked --quiet --workspace

ip() { echo "127.10.$1.$2"; }
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT

settings() { # arguments: role, number, control addresses as JSON
  local role=$1 n=$2 third=1
  [ "$role" = entry ] && third=2
  cat <<JSON
{ "vm": "$role-$n", "data_centre": "dc-$((n % 3))", "region": "r-1",
  "peer_address": "$(ip $third "$n"):$PORT", "http_address": "$(ip $third "$n"):$((PORT + 1))",
  "control_addresses": $3,
  "tls": {"ca_path": "$WORK/keys/ca.pem", "certificate_path": "$WORK/keys/$role-$role-$n.pem",
          "key_path": "$WORK/keys/$role-$role-$n.key"},
JSON
  if [ "$role" = control ]; then
    echo "  \"data_path\": \"$WORK/data-$n\", \"target_voters\": 3 }"
  else
    echo "  \"upstream_token_sha256\": [\"$(echo $TOKEN | $BIN/shallottray keys hash)\"] }"
  fi
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
lo_bytes() { awk -F'[: ]+' '$2 == "lo" {print $3}' /proc/net/dev; }

sum() { local total=0 pid; for pid in "${@:2}"; do total=$((total + $($1 "$pid"))); done; echo $total; }

measure() {
  local entries=$1 n controls operator
  rm -rf "$WORK" && mkdir -p "$WORK/keys"
  $BIN/shallottray keys authority --deployment scale "$WORK/keys" >/dev/null
  controls="[\"$(ip 1 1):$PORT\", \"$(ip 1 2):$PORT\", \"$(ip 1 3):$PORT\"]"
  $BIN/shallottray keys issue --authority "$WORK/keys" --role operator --name o "$WORK/keys" >/dev/null
  echo "{\"control_addresses\": $controls, \"tls\": {\"ca_path\": \"$WORK/keys/ca.pem\",
    \"certificate_path\": \"$WORK/keys/operator-o.pem\", \"key_path\": \"$WORK/keys/operator-o.key\"}}" \
    >"$WORK/operator.json"
  operator="--operator $WORK/operator.json"
  local control_pids=() entry_pids=()
  for n in 1 2 3; do
    $BIN/shallottray keys issue --authority "$WORK/keys" --role control --name "control-$n" "$WORK/keys" >/dev/null
    settings control "$n" "$controls" >"$WORK/control-$n.json"
    $BIN/shallottray-control --settings "$WORK/control-$n.json" 2>"$WORK/control-$n.log" &
    control_pids+=($!) pids+=($!)
  done
  sleep 1
  $BIN/shallottray bootstrap $operator "$(ip 1 1):$PORT" >/dev/null
  for n in $(seq 50); do
    [ "$($BIN/shallottray status $operator | grep -c ' voter ')" -eq 3 ] && break
    sleep 0.2
  done
  for n in $(seq "$entries"); do
    $BIN/shallottray keys issue --authority "$WORK/keys" --role entry --name "entry-$n" "$WORK/keys" >/dev/null
    settings entry "$n" "$controls" >"$WORK/entry-$n.json"
    $BIN/shallottray-entry --settings "$WORK/entry-$n.json" 2>"$WORK/entry-$n.log" &
    entry_pids+=($!) pids+=($!)
  done
  for n in $(seq $((entries * ENGINES_PER_ENTRY))); do
    $BIN/standin-engine --listen "$(ip 3 $((n % 250 + 1))):$((PORT + n / 250))" --name "engine-$n" \
      --data-centre "dc-$((n % 3))" --serves coach-7 --serves coach-thai --step-us 1000000 \
      --entry "$(ip 2 $((n % entries + 1))):$((PORT + 1))" --token $TOKEN 2>/dev/null &
    pids+=($!)
  done
  $BIN/shallottray publish --wait $operator examples/stride >/dev/null
  sleep 5
  local c0 e0 b0 c1 e1 b1
  c0=$(sum cpu_ticks "${control_pids[@]}") e0=$(sum cpu_ticks "${entry_pids[@]}") b0=$(lo_bytes)
  sleep "$SECONDS_MEASURED"
  c1=$(sum cpu_ticks "${control_pids[@]}") e1=$(sum cpu_ticks "${entry_pids[@]}") b1=$(lo_bytes)
  awk -v n="$entries" -v s="$SECONDS_MEASURED" -v c=$((c1 - c0)) -v e=$((e1 - e0)) -v b=$((b1 - b0)) \
    -v cm="$(sum rss_kb "${control_pids[@]}")" -v em="$(sum rss_kb "${entry_pids[@]}")" 'BEGIN {
      printf "entries=%d control_core_percent_each=%.2f entry_core_percent_each=%.2f control_mb_each=%.1f entry_mb_each=%.1f loopback_kb_per_s_per_entry=%.2f\n",
        n, c / s / 3, e / s / n, cm / 3 / 1024, em / n / 1024, b / s / n / 1024 }'
  stop_all
}

for entries in "${@:-4 8 16 32}"; do
  for n in $entries; do measure "$n"; done
done
