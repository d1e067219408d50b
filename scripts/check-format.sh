#!/usr/bin/env bash
# Reports every source file whose layout differs from clang-format's.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
  grep -v '/generated/' | xargs -r clang-format --dry-run --Werror
echo "format: clean"
