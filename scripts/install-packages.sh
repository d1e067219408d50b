#!/usr/bin/env bash
# Installs the Debian packages that build, check and test the project.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy curl
  libcpprest-dev libboost-dev libboost-system-dev libssl-dev zlib1g-dev
  capnproto libcapnp-dev prometheus-cpp-dev libgflags-dev
  libeasyloggingpp-dev libinih-dev nlohmann-json3-dev libxxhash-dev
  libgtest-dev libgmock-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "all packages are installed"
  exit 0
fi
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
