#!/usr/bin/env bash
# Runs a part of the example Vembanad on loopback addresses: stand-ins for the
# platform and the runners, two entries and five sidecars. Publishes, sends
# requests, withdraws a version under traffic, shows the time line and the
# bills, and stops everything. Fails loudly when anything is not as it should.
# usage: demo.sh BUILD_DIR
set -euo pipefail
build=$(cd "${1:?usage: demo.sh BUILD_DIR}" && pwd)
cd "$(dirname "$0")/.."

ctl=$build/programs/cowslipctl/cowslipctl
daemon=$build/programs/cowslipridged/cowslipridged
standins=$build/programs/cowslipridge-standins/cowslipridge-standins
# Addresses of its own, so that runs side by side do not meet.
network=127.$((($$ / 250) % 100 + 100)).$(($$ % 250))
platform=$network.250
store=http://$platform:8500
instances=http://$platform:8501
key=demo-key-thrissur-bowls
start_limit=30     # seconds until all daemons are ready
spread_limit=5     # seconds until a withdrawal is in force everywhere
stop_limit=30      # seconds until a daemon has drained
request_limit=30   # seconds for one request

work=$(mktemp -d)
declare -A pids=()
finished=no

say() { printf '\n== %s\n' "$*"; }
fail() {
  echo "demo: FAILED: $*" >&2
  exit 1
}

# Ends what was started, by pid, whatever happened before.
cleanup() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    await_end "${pids[$name]}" || kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  if [ "$finished" = yes ]; then
    rm -rf "$work"
  else
    echo "demo: logs are in $work" >&2
    tail -n 5 "$work"/*.log >&2 || true
  fi
}
trap cleanup EXIT

# await SECONDS COMMAND...: until the command succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}
ended() { ! kill -0 "$1" 2>/dev/null; }
await_end() { await "$stop_limit" ended "$1"; }

# launch NAME COMMAND...: in the background, with a log of its own.
launch() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME: gracefully; its exit code must be 0.
stop() {
  local pid=${pids[$1]} code=0
  kill -TERM "$pid" || fail "$1 had ended before it was stopped"
  await_end "$pid" || fail "$1 did not end within $stop_limit s"
  wait "$pid" || code=$?
  unset "pids[$1]"
  [ "$code" -eq 0 ] || fail "$1 ended with $code"
}

address_of() { sed -n 's/^address = \([0-9.]*\)$/\1/p' "$work/settings/$1.ini"; }
ready() { curl -fs -o /dev/null --max-time 2 "http://$1:8080/readyz"; }
says_ready() { grep -q '^ready$' "$work/$1.log"; }

# chat BODY [CURL_ARGS...]: one request to the first entry.
chat() {
  local body=$1
  shift
  curl -sS --max-time "$request_limit" "$@" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d "$body" "http://$entry:8080/v1/chat/completions"
}
# field NAME FILE: the value of a response header in a file that curl wrote.
field() { sed -n "s/^$1: *//Ip" "$2" | tr -d '\r' | tail -n 1; }
body_of() {
  printf '{"model": "drafting", "stream": %s, "max_tokens": 12, "messages":
    [{"role": "user", "content": "%s"}]}' "$1" "$2"
}

for program in "$ctl" "$daemon" "$standins"; do
  [ -x "$program" ] || fail "$program is not built"
done

say "settings and stand-ins"
examples/make-settings.sh vembanad "$work/settings" "$network"
small=(drafting-kochi-a-1 drafting-kochi-b-2 drafting-tvm-a-3)
large=(drafting-kochi-a-9)
desk=desk-kochi-a-1
entries=(entry-kochi-a entry-kochi-b)
entry=$(address_of "${entries[0]}")
launch platform "$standins" --store "$platform:8500" \
  --instances "$platform:8501" --ratings "$platform:8502"
for name in "${small[@]}"; do
  launch "runner-$name" "$standins" --runner "$(address_of "$name"):7000" \
    --runner_name "$name" --runner_ratings "http://$platform:8502" \
    --runner_models draft-small-3=0.7,draft-small-4=0.72
done
for name in "${large[@]}"; do
  launch "runner-$name" "$standins" --runner "$(address_of "$name"):7000" \
    --runner_name "$name" --runner_ratings "http://$platform:8502" \
    --runner_models draft-large-2=0.9
done
launch "runner-$desk" "$standins" --plain "$(address_of "$desk"):7000"
for name in "${!pids[@]}"; do
  await "$start_limit" says_ready "$name" || fail "$name is not ready"
done

say "check and publish the declarations"
"$ctl" check examples/vembanad/services/*.ini "$work"/settings/*.ini
"$ctl" publish --store "$store" --publisher demo \
  examples/vembanad/services/*.ini

say "start the daemons"
daemons=("${entries[@]}" "${small[@]}" "${large[@]}" "$desk")
for name in "${daemons[@]}"; do
  launch "$name" "$daemon" --settings "$work/settings/$name.ini"
done
for name in "${daemons[@]}"; do
  await "$start_limit" ready "$(address_of "$name")" ||
    fail "$name is not ready within $start_limit s"
  echo "$name is ready at $(address_of "$name")"
done

say "a plain request"
answered() {
  chat "$(body_of false "Draft round one.")" -o "$work/plain.body" \
    -D "$work/plain.head" -w '%{http_code}' >"$work/plain.status"
  grep -q '^200$' "$work/plain.status"
}
await "$start_limit" answered ||
  fail "no answer: $(cat "$work/plain.status" "$work/plain.body")"
cat "$work/plain.body"
echo
echo "version $(field Cowslipridge-Version "$work/plain.head")," \
  "outcome $(field Cowslipridge-Outcome "$work/plain.head")"
[ "$(field Cowslipridge-Outcome "$work/plain.head")" = ran ] ||
  fail "the plain request did not say that it ran"

say "a streamed request"
chat "$(body_of true "Draft round two.")" -N -D "$work/stream.head" \
  >"$work/stream.body"
tail -n 4 "$work/stream.body"
grep -q '^data: \[DONE\]' "$work/stream.body" || fail "the stream broke off"

say "a result entry, sent twice with one key: it runs once"
enter_result() {
  curl -sS --max-time "$request_limit" -D "$work/result$1.head" \
    -o "$work/result$1.body" -w '%{http_code}\n' \
    -H "Authorization: Bearer $key" -H 'Idempotency-Key: match-17' \
    -d '{"home": 21, "away": 16}' "http://$entry:8080/services/desk/results"
}
entered() { [ "$(enter_result 1)" = 200 ]; }
await "$start_limit" entered || fail "$(cat "$work/result1.body")"
[ "$(enter_result 2)" = 200 ] || fail "$(cat "$work/result2.body")"
cmp "$work/result1.body" "$work/result2.body" ||
  fail "the retry got another answer"
cat "$work/result1.body"
echo

say "withdraw draft-small@3 while traffic flows"
traffic() {
  local n=0
  while [ ! -e "$work/stop" ]; do
    n=$((n + 1))
    chat "$(body_of false "Draft $n.")" -o "$work/traffic.body" \
      -D "$work/traffic.head" -w '%{http_code}' >"$work/traffic.status" || true
    echo "$(date +%s%3N) $(cat "$work/traffic.status")" \
      "$(field Cowslipridge-Version "$work/traffic.head")" >>"$work/traffic.txt"
  done
}
touch "$work/traffic.txt"
traffic &
pids[traffic]=$!
served() {
  [ "$(grep -c " 200 $1" "$work/traffic.txt")" -ge "$2" ]
}
await "$start_limit" served draft-small@3 10 ||
  fail "draft-small@3 served too little to be withdrawn"
sed '/^\[version draft-small@3\]/a state = withdrawn' \
  examples/vembanad/services/drafting.ini >"$work/drafting.ini"
"$ctl" publish --store "$store" --publisher demo "$work/drafting.ini"
published=$(date +%s%3N)
sleep "$spread_limit"
# Requests that began before the limit may end after it: count from the next.
settled=$(date +%s%3N)
later() { awk -v t="$settled" '$1 > t && $2 == 200' "$work/traffic.txt"; }
enough_later() { [ "$(later | wc -l)" -ge 6 ]; }
await "$start_limit" enough_later || fail "no answers after the withdrawal"
touch "$work/stop"
wait "${pids[traffic]}"
unset 'pids[traffic]'
if later | tail -n +2 | grep -q 'draft-small@3'; then
  fail "draft-small@3 still serves $spread_limit s after its withdrawal"
fi
echo "last answer of draft-small@3:" \
  "$(awk -v t="$published" '$3 == "draft-small@3" && $1 > t {last = $1}
     END {print last ? last - t " ms after" : "before"}' "$work/traffic.txt")" \
  "the withdrawal was published"
awk '{print $2, $3}' "$work/traffic.txt" | sort | uniq -c

say "status"
printf '%s' vembanad-trial-admin-key >"$work/admin.key"
"$ctl" status --store "$store" --instances "$instances" \
  --admin_key_file "$work/admin.key" | cut -c1-160

say "the time line (its last 30 events)"
"$ctl" timeline --instances "$instances" --admin_key_file "$work/admin.key" \
  >"$work/timeline.txt"
tail -n 30 "$work/timeline.txt"
grep -q ' 200 configuration-in-force' "$work/timeline.txt" ||
  fail "the time line shows no configuration"

say "stop the daemons: each drains and ends with 0"
for name in "${daemons[@]}"; do
  stop "$name"
  echo "$name ended"
done

say "bills, as the journals have them"
for service in drafting desk; do
  "$ctl" bill --store "$store" --service "$service" >"$work/bill-$service.txt"
  grep '^total' "$work/bill-$service.txt" || echo "$service: no bills"
done
grep -q '^total thrissur-bowls' "$work/bill-drafting.txt" ||
  fail "the drafting requests were not billed"

for name in "${!pids[@]}"; do
  stop "$name"
done
finished=yes
say "done"
