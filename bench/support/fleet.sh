# Starts small fleets of real daemons and simulated platform services for the
# benches. The sourcing script sets `build` to the build folder; all processes
# are ended when its shell exits.
# shellcheck shell=bash
ctl=$build/programs/cowslipctl/cowslipctl
daemon=$build/programs/cowslipridged/cowslipridged
standins=$build/programs/cowslipridge-standins/cowslipridge-standins
network=127.$((($$ / 250) % 60 + 180)).$(($$ % 250))
platform=$network.250
work=$(mktemp -d)
pids=()
cleanup() {
  # The simulated services end last, so that the daemons can flush to them.
  for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:1}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  done
  kill -TERM "${pids[0]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}
trap cleanup EXIT
launch() { "$@" >"$work/${#pids[@]}.log" 2>&1 & pids+=($!); }
await() { for _ in $(seq 600); do "$@" && return 0; sleep 0.1; done; return 1; }
answers() { curl -fs -o /dev/null --max-time 2 "$1"; }
hex() { printf "%064d" "$1"; }
key=bench-key
key_hash=$(printf %s "$key" | sha256sum | cut -d" " -f1)

# Starts the platform and one runner, and publishes the declaration.
# start_platform [RUNNER_FLAGS...]
start_platform() {
  launch "$standins" --store "$platform:8500" --instances "$platform:8501" \
    --ratings "$platform:8502" --runner "$platform:7000" "$@"
  await answers "http://$platform:8500/debug/faults"
  publish 30
}
# publish DEADLINE_S: publishes the declaration of the one service.
publish() {
  declaration "$1" >"$work/fitting.ini"
  "$ctl" publish --store "http://$platform:8500" --publisher bench \
    "$work/fitting.ini" >/dev/null
}
declaration() {
  printf '[service]\nname = fitting\nkind = model\ndeadline = %ss\n' "$1"
  printf '[version small@1]\n[organisation club]\nkey_hashes = %s\nallowed = small@1\n' "$key_hash"
}
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
