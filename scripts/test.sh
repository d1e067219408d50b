#!/usr/bin/env bash
# Installs, checks the format, builds, lints and runs all tests.
# usage: test.sh [PRESET]   (release, asan or tsan; default release)
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/install-packages.sh
scripts/check-format.sh
scripts/check-platform-names.sh
scripts/check-timers.sh
cmake --preset "$preset"
cmake --build --preset "$preset"
[ "$preset" != release ] || scripts/lint.sh "build/$preset"
scripts/run-tests.sh "build/$preset"
