#!/usr/bin/env bash
# Builds the programs, starts the stand-ins and two entry daemons in each of two
# data centres, submits one job and prints its answer.
set -euo pipefail
cd "$(dirname "$0")"

bin=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$bin"
}
trap cleanup EXIT

go build -o "$bin" ./cmd/filbertford ./cmd/filbertfordd ./cmd/fbstandin

"$bin/fbstandin" -targets 8 -centres nordnes,sandviken -speeds 1,1.5,2 -vm-lag 100ms \
  -entries nordnes=127.0.0.1:7101,nordnes=127.0.0.1:7111,sandviken=127.0.0.1:7121,sandviken=127.0.0.1:7131 \
  2>"$bin/standin.log" &
pids+=($!)

endpoints=
start_daemon() { # number, data centre, first port
  "$bin/filbertfordd" -set "daemon.vm=entry-$1" -set "daemon.data-centre=$2" \
    -set "daemon.callers=127.0.0.1:$3" -set "daemon.peers=127.0.0.1:$(($3 + 1))" \
    -set "daemon.operations=127.0.0.1:$(($3 + 2))" -set stop.grace=0s \
    2>"$bin/daemon-$1.log" &
  pids+=($!)
  endpoints+=${endpoints:+,}http://127.0.0.1:$3
}
start_daemon 1 nordnes 7100
start_daemon 2 nordnes 7110
start_daemon 3 sandviken 7120
start_daemon 4 sandviken 7130

for endpoint in ${endpoints//,/ }; do
  for _ in $(seq 100); do
    if "$bin/filbertford" ready -endpoints "$endpoint" >/dev/null 2>&1; then break; fi
    sleep 0.1
  done
done

"$bin/filbertford" submit -endpoints "$endpoints" -team depot -service ordering -kind stock-check -tasks 6 -run 50ms
