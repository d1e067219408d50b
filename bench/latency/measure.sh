#!/usr/bin/env bash
# Measures the latency that an entry and a sidecar add, compared with direct
# requests of the same client to the runner, interleaved in one run. Also prints
# the processor time that each role uses.
# usage: measure.sh BUILD_DIR [RATE] [SECONDS]
set -euo pipefail
build=$(cd "${1:?usage: measure.sh BUILD_DIR [RATE] [SECONDS]}" && pwd)
rate=${2:-200} length=${3:-10}
source "$(dirname "$0")/../support/fleet.sh"

start_platform --runner_models=small@1=0.8 --runner_slots=64 --runner_prefill_ms=0 \
  --runner_tokens_per_second=2000
settings sidecar side-1 "$network.1" >"$work/side-1.ini"
settings entry entry-1 "$network.129" >"$work/entry-1.ini"
launch "$daemon" --settings "$work/side-1.ini"
sidecar_pid=${pids[-1]}
launch "$daemon" --settings "$work/entry-1.ini"
entry_pid=${pids[-1]}
for host in 1 129; do await answers "http://$network.$host:8080/readyz"; done
chat() {
  curl -fs -o /dev/null --max-time 5 -H "Authorization: Bearer $key" \
    -d '{"model":"fitting","messages":[{"role":"user","content":"hello"}],"max_tokens":1}' \
    "http://$network.129:8080/v1/chat/completions"
}
await chat
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
for stream in false true; do
  e0=$(ticks "$entry_pid") s0=$(ticks "$sidecar_pid")
  "$build/bench/latency/bench_latency" --entry "http://$network.129:8080" \
    --runner "http://$platform:7000" --key "$key" --service fitting \
    --engine_model small@1 --rate "$rate" --seconds "$length" --stream="$stream"
  e1=$(ticks "$entry_pid") s1=$(ticks "$sidecar_pid")
  echo "stream=$stream processor: entry $(((e1 - e0) / length)) %," \
    "sidecar $(((s1 - s0) / length)) % of a core"
done
