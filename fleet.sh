# Functions for demo.sh and walks.sh, which source this file: they start stand-ins
# of the platform and a fleet of daemons on loopback addresses.

bin=$(mktemp -d)
pids=()
declare -A node_pid

cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$bin"
}
trap cleanup EXIT

# start_fleet WORKERS ZONE... starts stand-ins with workers, and one daemon for each
# zone given, and waits until the daemons are ready.
start_fleet() {
  local workers=$1 zones number=0
  shift
  zones=$(IFS=,; echo "$*")
  go build -o "$bin" ./cmd/filbertford ./cmd/filbertfordnode ./cmd/fbstandfleet
  "$bin/fbstandfleet" -store 127.0.0.1:7000 -first-port 7300 -workers "$workers" -zones "$zones" 2>"$bin/standin.log" &
  pids+=($!)
  for zone in "$@"; do
    number=$((number + 1))
    start_node "$number" "$zone" "$zones"
  done
  for ((n = 1; n <= number; n++)); do
    for _ in $(seq 200); do
      if curl -fs -o /dev/null "localhost:72${n}1/-/ready"; then break; fi
      sleep 0.05
    done
  done
  sleep 1
}

# start_node NUMBER ZONE ZONES starts a daemon in a zone.
start_node() {
  "$bin/filbertfordnode" -set "node.name=node-$1" -set "node.data-centre=$2" -set "node.data-centres=$3" \
    -set "node.callers=127.0.0.1:72${1}0" -set "node.readiness=127.0.0.1:72${1}1" \
    -set "node.peers=127.0.0.1:72${1}2" -set "node.metrics=127.0.0.1:72${1}3" \
    >"$bin/node-$1.log" 2>&1 &
  node_pid[$1]=$!
  pids+=($!)
}

# submit NODE ID TASKS RUN_MS [TIMEOUT_MS] submits a best-effort job to a daemon and
# prints the answer.
submit() {
  curl -s -w ' %{http_code} after %{time_total} s\n' -H 'Host: depot.example' -H "Deadline-Ms: ${5:-3000}" "localhost:72${1}0/jobs/$2" \
    -d "{\"spec\":\"{\\\"run_ms\\\":$4,\\\"cpu\\\":1000}\",\"steps\":[{\"count\":$3,\"cpu\":1000,\"memMb\":8,\"estimateMs\":$4}],\"bestEffort\":true}"
}

# fault PORT JSON sets the faults of a stand-in.
fault() { curl -fs -X PUT "localhost:$1/faults" -d "$2"; }
