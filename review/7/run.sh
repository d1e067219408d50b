#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/programs/cowslipridge-gateway/cowslipridge-gateway ] || {
  echo "could not run: no gateway in target/"; exit 2; }
command -v python3 >/dev/null || { echo "could not run: no python3"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 115 python3 review/7/case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
