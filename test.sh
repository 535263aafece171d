#!/usr/bin/env bash
# Passes the tests. Those of KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")"
known=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  while IFS=: read -r name _; do known+=(--skip "$name"); done < KNOWN-RED.txt
fi
cargo build --workspace --all-targets --quiet
exec cargo test --workspace --no-fail-fast "$@" -- ${known[@]+"${known[@]}"}
