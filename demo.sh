#!/usr/bin/env bash
# Builds the programs, runs a small deployment on loopback addresses, and
# checks one streamed generation, one booking that is sent twice with the same
# idempotency key, and the trace spans of these requests.
#
#   ./demo.sh        start the deployment, run all checks, stop it
#   ./demo.sh up     start the deployment and leave it running
#   ./demo.sh down   stop the deployment that `up` started
set -euo pipefail
cd "$(dirname "$0")"

DEMO=target/demo
BIN=target/release
BASE_PORT=${SHALLOTTRAY_DEMO_PORT:-17400}
DATA_CENTRES=(bkk-a bkk-b bkk-c)
TOKEN=demo-upstream-token
KEY=head-office-demo-key
STEP_US=${SHALLOTTRAY_DEMO_STEP_US:-20000}

control_peer() { echo "127.0.0.1:$((BASE_PORT + $1))"; }
control_http() { echo "127.0.0.1:$((BASE_PORT + 10 + $1))"; }
entry_peer() { echo "127.0.0.1:$((BASE_PORT + 20 + $1))"; }
entry_http() { echo "127.0.0.1:$((BASE_PORT + 30 + $1))"; }
engine_http() { echo "127.0.0.1:$((BASE_PORT + 40 + $1))"; }
service_http() { echo "127.0.0.1:$((BASE_PORT + 50 + $1))"; }

say() { echo "demo: $*"; }
fail() { echo "demo: FAILED: $*" >&2; exit 1; }

need_curl() {
  command -v curl >/dev/null && return
  say "installing curl"
  apt-get update -qq && apt-get install -y -qq curl >/dev/null
}

build() {
  say "building"
  cargo build --release --locked --quiet --workspace
}

controls_json() {
  printf '["%s", "%s", "%s"]' "$(control_peer 1)" "$(control_peer 2)" "$(control_peer 3)"
}

tls_json() {
  printf '{"ca_path": "%s/keys/ca.pem", "certificate_path": "%s/keys/%s.pem", "key_path": "%s/keys/%s.key"}' \
    "$DEMO" "$DEMO" "$1" "$DEMO" "$1"
}

write_settings() {
  local i token_hash
  token_hash=$(echo "$TOKEN" | "$BIN/shallottray" keys hash)
  mkdir -p "$DEMO/settings"
  for i in 1 2 3; do
    cat > "$DEMO/settings/control-$i.json" <<JSON
{
  "vm": "control-$i", "data_centre": "${DATA_CENTRES[i - 1]}", "region": "th-central",
  "peer_address": "$(control_peer $i)", "http_address": "$(control_http $i)",
  "data_path": "$DEMO/data/control-$i", "control_addresses": $(controls_json),
  "tls": $(tls_json "control-control-$i"),
  "telemetry": { "span_path": "$DEMO/spans.jsonl" }
}
JSON
    cat > "$DEMO/settings/entry-$i.json" <<JSON
{
  "vm": "entry-$i", "data_centre": "${DATA_CENTRES[i - 1]}", "region": "th-central",
  "peer_address": "$(entry_peer $i)", "http_address": "$(entry_http $i)",
  "control_addresses": $(controls_json), "tls": $(tls_json "entry-entry-$i"),
  "upstream_token_sha256": ["$token_hash"],
  "timers": { "address_max_age_ms": 1000 },
  "telemetry": { "span_path": "$DEMO/spans.jsonl" }
}
JSON
  done
  cat > "$DEMO/settings/operator.json" <<JSON
{ "control_addresses": $(controls_json), "tls": $(tls_json operator-demo) }
JSON
}

make_keys() {
  "$BIN/shallottray" keys authority --deployment demo "$DEMO/keys" >/dev/null
  local i
  for i in 1 2 3; do
    "$BIN/shallottray" keys issue --authority "$DEMO/keys" --role control --name "control-$i" "$DEMO/keys" >/dev/null
    "$BIN/shallottray" keys issue --authority "$DEMO/keys" --role entry --name "entry-$i" "$DEMO/keys" >/dev/null
  done
  "$BIN/shallottray" keys issue --authority "$DEMO/keys" --role operator --name demo "$DEMO/keys" >/dev/null
}

start() {
  local name=$1
  shift
  "$@" >"$DEMO/logs/$name.log" 2>&1 &
  echo $! >"$DEMO/pids/$name.pid"
}

start_engine() {
  start "engine-$1" "$BIN/standin-engine" --listen "$(engine_http "$1")" --name "engine-$1" \
    --data-centre "${DATA_CENTRES[$1 - 1]}" --serves coach-7 --serves coach-thai \
    --entry "$(entry_http 1)" --entry "$(entry_http 2)" --token "$TOKEN" --step-us "$STEP_US" --stamp
}

# Retries a command until it succeeds, up to 200 times with pauses of 100 ms.
wait_for() {
  local what=$1 i
  shift
  for i in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "timed out waiting for $what"
}

operator() { "$BIN/shallottray" "$1" --operator "$DEMO/settings/operator.json" "${@:2}"; }
three_voters() { [ "$(operator status | grep -c ' voter ')" -eq 3 ]; }
entries_known() { [ "$(operator status | grep -c '^entry ')" -eq 3 ]; }
entry_ready() { curl -sf "http://$(entry_http "$1")/readyz"; }

write_addresses() {
  cat > "$DEMO/addresses.json" <<JSON
{"entries": ["$(entry_http 1)", "$(entry_http 2)", "$(entry_http 3)"],
 "control": ["$(control_http 1)", "$(control_http 2)", "$(control_http 3)"],
 "engines": ["$(engine_http 1)", "$(engine_http 2)"],
 "services": ["$(service_http 1)"]}
JSON
}

up() {
  need_curl
  build
  [ -d "$DEMO/pids" ] && fail "a deployment is already running; run ./demo.sh down first"
  rm -rf "$DEMO"
  mkdir -p "$DEMO"/{logs,pids,data}
  make_keys
  write_settings
  local i
  for i in 1 2 3; do
    "$BIN/shallottray-control" --check-settings --settings "$DEMO/settings/control-$i.json" >/dev/null
    start "control-$i" "$BIN/shallottray-control" --settings "$DEMO/settings/control-$i.json"
  done
  wait_for "the control group" operator bootstrap "$(control_peer 1)"
  wait_for "three voters" three_voters
  say "control group with three voters is running"
  for i in 1 2 3; do
    start "entry-$i" "$BIN/shallottray-entry" --settings "$DEMO/settings/entry-$i.json"
  done
  wait_for "three entries" entries_known
  start_engine 1
  start_engine 2
  start service-1 "$BIN/standin-service" --listen "$(service_http 1)" --name booking-1 \
    --data-centre bkk-a --serves booking-app --entry "$(entry_http 1)" --entry "$(entry_http 3)" \
    --token "$TOKEN"
  "$BIN/shallottray" check examples/stride
  operator publish --wait examples/stride
  for i in 1 2 3; do wait_for "entry $i" entry_ready "$i"; done
  wait_for "an upstream at each entry" upstreams_known
  write_addresses
  say "deployment is running; addresses are in $DEMO/addresses.json"
}

upstreams_known() {
  local i
  for i in 1 2 3; do
    curl -sf "http://$(entry_http $i)/metrics" | grep -q '^shallottray_entry_known_upstreams 3$' || return 1
  done
}

check_stream() {
  local entry body events tokens
  entry=$(curl -sf "http://$(entry_http 1)/v1/entries" | grep -o '"address":"[^"]*"' | head -1 | cut -d'"' -f4)
  say "/v1/entries returned entry $entry"
  body='{"model": "coach-llm", "stream": true, "messages": [{"role": "user", "content": "When is the studio open? length=25"}]}'
  events=$(curl -sfN "http://$entry/v1/chat/completions" -H "authorization: Bearer $KEY" -d "$body") ||
    fail "the chat completion request failed"
  tokens=$(grep -c '"content"' <<<"$events")
  [ "$tokens" -eq 25 ] || fail "expected 25 tokens in the stream, got $tokens"
  grep -q '^data: \[DONE\]' <<<"$events" || fail "the stream ended without [DONE]"
  say "streamed one generation of 25 tokens"
}

check_booking() {
  local body url i answers runs
  body='{"member": "m-17", "trainer": "t-4", "slot": "2026-12-05T18:00"}'
  answers=()
  for i in 1 2; do
    url="http://$(entry_http $i)/services/booking-app/bookings"
    answers+=("$(curl -sf "$url" -H "authorization: Bearer $KEY" -H 'idempotency-key: booking-17' \
      -H 'content-type: application/json' -d "$body")") || fail "the booking request failed"
  done
  [ "${answers[0]}" = "${answers[1]}" ] || fail "the two entries returned different responses: ${answers[*]}"
  runs=$(curl -sf "http://$(service_http 1)/runs" | grep -o '"booking-17":[0-9]*')
  [ "$runs" = '"booking-17":1' ] || fail "expected exactly one execution of the booking, got: $runs"
  say "one booking, sent to two entries with the same idempotency key, was executed once"
}

check_spans() {
  local name
  for name in entry.chat upstream.generation entry.service control.begin_record begin_record upstream.service; do
    wait_for "span $name" grep -q "\"name\":\"$name\"" "$DEMO/spans.jsonl"
  done
  say "spans of every hop are in $DEMO/spans.jsonl"
}

running() { kill -0 "$1" 2>/dev/null; }

stop_one() {
  local name=$1 pid i
  pid=$(cat "$DEMO/pids/$name.pid" 2>/dev/null) || return 0
  running "$pid" && kill -TERM "$pid"
  for i in $(seq 300); do
    running "$pid" || break
    sleep 0.1
  done
  if running "$pid"; then
    kill -KILL "$pid"
    echo "demo: $name did not stop within 30 s of SIGTERM; sent SIGKILL" >&2
    return 1
  fi
  rm -f "$DEMO/pids/$name.pid"
}

down() {
  local result=0 name
  [ -d "$DEMO/pids" ] || { say "no deployment is running"; return 0; }
  for name in engine-1 engine-2 service-1 entry-1 entry-2 entry-3 control-1 control-2 control-3; do
    stop_one "$name" || result=1
  done
  rmdir "$DEMO/pids"
  return $result
}

case "${1:-run}" in
  up) up ;;
  down) down && say "stopped" ;;
  run)
    trap 'down >/dev/null 2>&1 || true' EXIT
    up
    check_stream
    check_booking
    check_spans
    down || fail "a process did not stop gracefully"
    trap - EXIT
    say "stopped gracefully; all checks passed"
    ;;
  *) echo "usage: ./demo.sh [up|down]" >&2; exit 2 ;;
esac
