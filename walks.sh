#!/usr/bin/env bash
# Reproduces one kind of failed request on the stand-ins and prints the log lines
# that explain it. docs/OPERATIONS.md describes them.
#   walks.sh refused|late|owner
set -euo pipefail
cd "$(dirname "$0")"
source ./fleet.sh

case ${1:-} in
refused)
  start_fleet 1 nordnes
  for n in 1 2 3 4 5 6; do submit 1 "00000000000000b$n" 4 900 >/dev/null & done
  sleep 0.3
  submit 1 00000000000000ff 4 60
  "$bin/filbertford" explain 00000000000000ff "$bin"/node-*.log
  ;;
late)
  start_fleet 3 nordnes
  for port in 7300 7301; do fault $port '{"hang":true}'; done
  submit 1 00000000000000c1 6 100
  "$bin/filbertford" explain 00000000000000c1 "$bin"/node-*.log
  ;;
owner)
  start_fleet 4 nordnes nordnes nordnes
  owner=$(grep -l 'FE7031.*pool=nordnes' "$bin"/node-*.log | head -1 | sed 's/.*node-\([0-9]\).log/\1/')
  submit "$owner" 00000000000000d1 4 1500 &
  sleep 0.4
  { kill -KILL "${node_pid[$owner]}" && wait "${node_pid[$owner]}"; } 2>/dev/null || true
  sleep 2
  "$bin/filbertford" explain 00000000000000d1 "$bin"/node-*.log
  ;;
*)
  echo "usage: walks.sh refused|late|owner" >&2
  exit 2
  ;;
esac
