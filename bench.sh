#!/usr/bin/env bash
# Measures the system itself on this machine: added latency against the stages called directly in
# the same run, processor time a request, and what an idle daemon costs.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --quiet --bins --examples
bin=target/release
deployment=${1:-deployments/halloran_great_lakes}
seconds=${2:-90}
"$bin/examples/demo" "$deployment" --keep "$seconds" --instant >/dev/null &
demo=$!
trap 'kill $demo 2>/dev/null && wait $demo || true' EXIT
list=$(sed -n 's/^vm_list = //p' "$(ls "$deployment"/entry-*.ini | head -1)")
mapfile -t callers < <(sed -n 's/^caller = //p' "$deployment"/entry-*.ini)
until "$bin/crocusctl" status --vm-list "$list" 2>/dev/null | grep -q ready; do sleep 0.2; done

# Processor time of all daemons so far, in ticks of 10 ms, and the memory of the largest in KB.
ticks() { cat $(pgrep -P $demo -x crocusdaled | sed 's|.*|/proc/&/stat|') | awk '{s += $14 + $15} END {print s}'; }
memory() { cat $(pgrep -P $demo -x crocusdaled | sed 's|.*|/proc/&/status|') | awk '/VmRSS/ {if ($2 > m) m = $2} END {print m}'; }

sleep 2
before=$(ticks)
sleep 20
after=$(ticks)
echo "idle: $(awk -v t=$((after - before)) 'BEGIN {printf "%.3f", t / 100 / 20 / 6 * 100}')% of a core and $(memory) KB for each daemon"

echo "-- latency at 50 requests a second"
"$bin/crocusctl" replay --direct "$deployment/declarations.ini" "$deployment/ordinary_day.jsonl" "${callers[@]}" |
    grep -E "^(through|stages called|requests|latency|added)"
for speed in 20 60 100; do
    before=$(ticks)
    echo "-- speed $speed"
    "$bin/crocusctl" replay --speed $speed --repeat $((speed / 2)) "$deployment/ordinary_day.jsonl" "${callers[@]}" |
        grep -E "^(requests|latency|  [a-z]+( \(|:))" | grep -vE "^  (churches|families|front|law|winter|ask|notice|packet|scan|shred|forward|encode|retrieve|rerank|generate|deliver|intake|portal)"
    after=$(ticks)
    awk -v t=$((after - before)) -v n=$((600 * speed / 2)) 'BEGIN {printf "%.0f requests for each second of a core (%.0f us a request of up to 5 stages)\n", n / (t / 100), t * 10000 / n}'
done
echo "memory after load: $(memory) KB"
