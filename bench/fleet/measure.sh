#!/usr/bin/env bash
# Measures what idle daemons cost as the fleet grows: processor time, resident
# memory and control bytes of each role, and calls of the store.
# usage: measure.sh BUILD_DIR ENTRIES SIDECARS [SECONDS]
# Prints one CSV line: entries,sidecars,entry_cpu_percent,entry_rss_mb,
# entry_bytes_s,sidecar_cpu_percent,sidecar_rss_mb,sidecar_bytes_s,
# store_calls_s,store_calls_per_change
set -euo pipefail
build=$(cd "${1:?usage: measure.sh BUILD_DIR ENTRIES SIDECARS [SECONDS]}" && pwd)
entries=${2:?entries} sidecars=${3:?sidecars} length=${4:-10}
source "$(dirname "$0")/../support/fleet.sh"

start_platform
entry_pids=() sidecar_pids=() addresses=()
for n in $(seq "$sidecars"); do
  settings sidecar "side-$n" "$network.$n" >"$work/side-$n.ini"
  launch "$daemon" --settings "$work/side-$n.ini"
  sidecar_pids+=("${pids[-1]}") addresses+=("$network.$n")
done
for n in $(seq "$entries"); do
  settings entry "entry-$n" "$network.$((n + 128))" >"$work/entry-$n.ini"
  launch "$daemon" --settings "$work/entry-$n.ini"
  entry_pids+=("${pids[-1]}") addresses+=("$network.$((n + 128))")
done
for address in "${addresses[@]}"; do await answers "http://$address:8080/readyz"; done
sleep 5

ticks() { local sum=0 t; for p in "$@"; do
  t=$(awk '{print $14 + $15}' "/proc/$p/stat"); sum=$((sum + t)); done; echo "$sum"; }
rss() { cat $(printf '/proc/%s/status ' "$@") | awk '/VmRSS/ {s += $2; n++} END {printf "%.1f", s / n / 1024}'; }
bytes() { for p in "$@"; do ss -tniHp 2>/dev/null | awk -v pid="pid=$p," '
  /^[A-Z]/ {own = index($0, pid) > 0} /bytes_/ && own {for (i = 1; i <= NF; i++)
  if ($i ~ /^bytes_(acked|received):/) {split($i, x, ":"); s += x[2]}} END {print s + 0}'
  done | awk '{s += $1} END {printf "%.0f", s}'; }
calls() { curl -fs "http://$platform:8500/debug/calls" | tr ',{}' '\n\n\n' |
  awk -F: '/"(reads|writes|watches)"/ {s += $2} END {print s + 0}'; }
e0=$(ticks "${entry_pids[@]}") s0=$(ticks "${sidecar_pids[@]}") c0=$(calls)
b0=$(bytes "${entry_pids[0]}") d0=$(bytes "${sidecar_pids[0]}")
sleep "$length"
e1=$(ticks "${entry_pids[@]}") s1=$(ticks "${sidecar_pids[@]}") c1=$(calls)
b1=$(bytes "${entry_pids[0]}") d1=$(bytes "${sidecar_pids[0]}")
before=$(calls)
publish 31
sleep 5
after=$(calls)
hz=$(getconf CLK_TCK)
awk -v e="$entries" -v s="$sidecars" -v l="$length" -v hz="$hz" \
  -v ec=$((e1 - e0)) -v sc=$((s1 - s0)) -v er="$(rss "${entry_pids[@]}")" \
  -v sr="$(rss "${sidecar_pids[@]}")" -v eb=$((b1 - b0)) -v sb=$((d1 - d0)) \
  -v cs=$((c1 - c0)) -v pc=$((after - before)) 'BEGIN {
  printf "%d,%d,%.2f,%s,%.0f,%.2f,%s,%.0f,%.1f,%.0f\n", e, s,
    100 * ec / hz / l / e, er, eb / l, 100 * sc / hz / l / s, sr, sb / l,
    cs / l, pc - cs / l * 5}'
