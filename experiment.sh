#!/usr/bin/env bash
# Compares the placement policies under the users' workload mixes: for each mix, load
# and policy it starts new stand-ins and entry daemons, runs the load tool with a
# fixed seed, and writes the results as JSON and one HTML report with plots.
#
#   ./experiment.sh DIRECTORY
#
# Environment variables override the defaults in the settings below.
set -euo pipefail

if [ $# -ne 1 ] || [ "$1" = "-h" ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0"
  sed -n '/^# Settings/,/^$/p' "$0"
  exit 1
fi
mkdir -p "$1"
out=$(cd "$1" && pwd)
cd "$(dirname "$0")"

# Settings
policies=${POLICIES:-adaptive random round-robin least-outstanding two-choices}
mixes=${MIXES:-depot atlas}
rates=${RATES:-0.5 0.8 0.95 1.5}
faults=${FAULTS-fail-all:0.1 slow:0.1} # faults that start after a third of a run at 80 % load
length=${LENGTH:-20}                   # seconds of each run
warm=${WARM_UP:-5}                     # seconds at its start that are not measured
seed=${SEED:-1}
targets=${TARGETS:-10}
speeds=${SPEEDS:-0.7,1,1.5,2,3}
daemons=${DAEMONS:-3}
port=${PORT:-17000}

bin=$(mktemp -d)
pids=()

# stop_all stops the processes of a run by their IDs, daemons before stand-ins.
stop_all() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  pids=()
}
cleanup() {
  stop_all
  rm -rf "$bin"
}
trap cleanup EXIT

echo "building" >&2
go build -o "$bin" ./cmd/filbertford ./cmd/filbertfordd ./cmd/fbstandin

platform=127.0.0.1:$port
start_all() { # policy
  local i entries= host
  endpoints= operations=
  for i in $(seq "$daemons"); do
    host=127.0.0.$((i + 1)) # each VM has its own address, as for callers in production
    entries+=${entries:+,}nordnes=$host:$((port + 1))
    endpoints+=${endpoints:+,}http://$host:$port
    operations+=${operations:+,}http://$host:$((port + 2))
  done
  "$bin/fbstandin" -platform "$platform" -targets "$targets" -target-base "127.0.0.1:$((port + 500))" \
    -speeds "$speeds" -seed "$seed" -vm-lag 100ms -centres nordnes -entries "$entries" \
    >"$out/standin.log" 2>&1 &
  pids+=($!)
  for i in $(seq "$daemons"); do
    host=127.0.0.$((i + 1))
    "$bin/filbertfordd" -set "daemon.vm=entry-$i" -set daemon.data-centre=nordnes -set daemon.data-centres=nordnes \
      -set "daemon.platform=$platform" -set "daemon.callers=$host:$port" \
      -set "daemon.peers=$host:$((port + 1))" -set "daemon.operations=$host:$((port + 2))" \
      -set "policy.name=$1" -set "policy.seed=$((seed + i))" -set stop.grace=0s -set stop.drain=1s \
      >"$out/daemon-$i.log" 2>&1 &
    pids+=($!)
  done
  "$bin/filbertford" ready -endpoints "$endpoints" -wait 20s >/dev/null
}

failed=0
run() { # mix, rate, policy, name, additional flags of load
  local mix=$1 rate=$2 policy=$3 name=$4
  shift 4
  echo "== $name" >&2
  start_all "$policy"
  "$bin/filbertford" load -endpoints "$endpoints" -operations "$operations" -platform "http://$platform" \
    -mix "$mix" -rate "$rate" -for "${length}s" -warm-up "${warm}s" -seed "$seed" -label "$policy" \
    -json "$out/$name.json" "$@" >"$out/$name.txt" 2>"$out/$name.log" || {
    failed=1
    echo "$name: the load tool ended with an error or a violation; see $out/$name.log" >&2
  }
  stop_all
}

for mix in $mixes; do
  for policy in $policies; do
    for rate in $rates; do
      run "$mix" "$rate" "$policy" "$mix-$rate-$policy"
    done
    for fault in $faults; do
      run "$mix" 0.8 "$policy" "$mix-${fault%%:*}-$policy" -at "$((length / 3))s=$fault"
    done
  done
done

shopt -s nullglob
results=("$out"/*.json)
"$bin/filbertford" report -out "$out/report.html" "${results[@]}"
echo "results and report are in $out" >&2
exit $failed
