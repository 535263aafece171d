#!/usr/bin/env bash
# Checks the specification exhaustively, and that every mutant of it is rejected.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin >/dev/null; }

# Runs the checker on the specification with the given definitions; leaves its report.
search() {
    local name=$1
    shift
    mkdir -p "$work/$name"
    (
        cd "$work/$name"
        cp "$OLDPWD/at_most_once.pml" .
        spin -a "$@" at_most_once.pml >spin.log 2>&1
        cc -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -w -o pan pan.c >cc.log 2>&1
        ./pan -m1000000 -w24 >report.txt 2>&1 || true
    )
}

search specification -DRESTARTS=2
report="$work/specification/report.txt"
grep -E "states, stored|errors:|depth reached" "$report"
grep -q "errors: 0" "$report" || { echo "the specification is violated"; cat "$report"; exit 1; }
grep -qE "max search depth too small|out of memory" "$report" && { echo "the search is not whole"; exit 1; }

for mutant in QUORUM_ONE VOTE_AT_ONCE NEW_VOTES TRUST_ONESELF CLAIM_AGAIN NO_DEADLINE NO_AGE OWN_CLAIMS OVERWRITE; do
    search "$mutant" "-D$mutant"
    if grep -q "errors: 1" "$work/$mutant/report.txt"; then
        echo "mutant $mutant: rejected, as it must be"
    else
        echo "mutant $mutant: NOT rejected"
        cat "$work/$mutant/report.txt"
        exit 1
    fi
done
