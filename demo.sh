#!/usr/bin/env bash
# Builds the programs, starts stand-ins of the platform and a fleet of three
# daemons in two data centres, runs a job, and prints where its tasks ran.
set -euo pipefail
cd "$(dirname "$0")"
source ./fleet.sh

start_fleet 6 nordnes nordnes sandviken
submit 1 00000000000000a1 6 50
"$bin/filbertford" explain -beliefs=false 00000000000000a1 "$bin"/node-*.log
