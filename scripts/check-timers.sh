#!/usr/bin/env bash
# Reports timers of the event loop that are no LoopTimer: the handler of a plain
# steady_timer may run after its wait was cancelled or replaced.
set -euo pipefail
cd "$(dirname "$0")/.."
allowed='^src/cowslipridge/http1/LoopTimer\.'
found=$(git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
  grep -vE "$allowed" |
  xargs grep -nE 'steady_timer|system_timer|deadline_timer|waitable_timer' ||
  true)
if [ -n "$found" ]; then
  echo "$found"
  echo "timers: the lines above need http1::LoopTimer"
  exit 1
fi
echo "timers: clean"
