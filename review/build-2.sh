#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/fakes"
exec cargo build --release --offline --quiet --target-dir ../../target/review-2
