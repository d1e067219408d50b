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
ctl=$build/programs/cowslipctl/cowslipctl
daemon=$build/programs/cowslipridged/cowslipridged
standins=$build/programs/cowslipridge-standins/cowslipridge-standins
network=127.$((($$ / 250) % 60 + 180)).$(($$ % 250))
platform=$network.250
work=$(mktemp -d)
pids=()
cleanup() {
  # The stand-ins end last, so that the daemons can flush.
  for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:1}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  done
  kill -TERM "${pids[0]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap cleanup EXIT
launch() { "$@" >"$work/${#pids[@]}.log" 2>&1 & pids+=($!); }
await() { for _ in $(seq 600); do "$@" && return 0; sleep 0.1; done; return 1; }
answers() { curl -fs -o /dev/null --max-time 2 "$1"; }
hex() { printf "%064d" "$1"; }

launch "$standins" --store "$platform:8500" --instances "$platform:8501" \
  --ratings "$platform:8502" --runner "$platform:7000"
await answers "http://$platform:8500/debug/faults"
declaration() {
  printf '[service]\nname = fitting\nkind = model\ndeadline = %ss\n' "$1"
  printf '[version small@1]\n[organisation club]\nkey_hashes = %s\nallowed = small@1\n' "$(hex 7)"
}
declaration 30 >"$work/fitting.ini"
"$ctl" publish --store "http://$platform:8500" --publisher bench \
  "$work/fitting.ini" >/dev/null
settings() { # ROLE NAME ADDRESS
  cat <<INI
[process]
role = $1
instance = $2
failure_domain = kochi-a
threads = 2
[listen]
address = $3
http_port = 8080
rpc_port = 9080
[platform]
store = http://$platform:8500
instances = http://$platform:8501
ratings = http://$platform:8502
[security]
fleet_key = $(hex 1)
session_key = $(hex 2)
admin_key_hash = $(hex 3)
INI
  [ "$1" = entry ] || printf '[runner]\naddress = http://%s:7000\nservice = fitting\nversions = small@1\n' "$platform"
}
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
declaration 31 >"$work/fitting.ini"
before=$(calls)
"$ctl" publish --store "http://$platform:8500" --publisher bench \
  "$work/fitting.ini" >/dev/null
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
