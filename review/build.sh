#!/usr/bin/env bash
# Builds what the cases start, beside the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-runner ./review/runner
