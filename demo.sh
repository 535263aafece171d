#!/usr/bin/env bash
# Builds everything and runs one deployment on this machine, as separate processes.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --quiet --bins --examples
exec target/release/examples/demo "${1:-deployments/halloran_great_lakes}" "${@:2}"
