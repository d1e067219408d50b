#!/usr/bin/env bash
# Checks the declarations of one example with the settings of all its daemons.
# usage: check-examples.sh COWSLIPCTL EXAMPLE WORK_DIR
set -euo pipefail
cowslipctl=${1:?} example=${2:?} work=${3:?}
examples=$(cd "$(dirname "$0")/../examples" && pwd)
rm -rf "$work"
"$examples/make-settings.sh" "$example" "$work"
"$cowslipctl" check "$examples/$example"/services/*.ini "$work"/*.ini
# The committed samples are what the script writes.
for sample in "$examples/$example"/settings/*.ini; do
  diff -u "$sample" "$work/$(basename "$sample")"
done
