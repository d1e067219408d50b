#!/usr/bin/env bash
# Runs clang-tidy over every source file in parallel. A file is skipped when
# neither it, nor a project header it includes, nor the check list has changed
# since it was last found clean.
# usage: lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: lint.sh BUILD_DIR}
export LINT_BUILD=$build
export LINT_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/cowslipridge-lint
mkdir -p "$LINT_CACHE"
lint_one() {
  local file=$1 key log
  key=$({ cat .clang-tidy; echo "$file"
    g++ -std=c++20 -MM -I src -I tests -I bench "$file" | tr -d '\\' |
      tr ' ' '\n' | grep -E '\.(cpp|hpp|h)$' | sort -u | grep -v '^/' |
      xargs cat; } | sha256sum | cut -c1-40)
  [ -e "$LINT_CACHE/$key" ] && return 0
  log=$(mktemp)
  if clang-tidy -p "$LINT_BUILD" --quiet --extra-arg=-Wno-unknown-warning-option "$file" >"$log" 2>&1; then
    rm -f "$log"
    touch "$LINT_CACHE/$key"
  else
    cat "$log"
    rm -f "$log"
    return 1
  fi
}
export -f lint_one
git ls-files -co --exclude-standard '*.cpp' | grep -v '/generated/' |
  xargs -r -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}' ||
  { echo "lint: findings above"; exit 1; }
echo "lint: clean"
