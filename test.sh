#!/usr/bin/env bash
# Passes the tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --all-targets --quiet
exec cargo test --workspace --no-fail-fast "$@"
