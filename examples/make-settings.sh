#!/usr/bin/env bash
# Writes the settings of all daemons of one example. Instances listen on
# consecutive loopback addresses; the keys are for trials only.
# usage: make-settings.sh vembanad|asantewaa OUT_DIR [FIRST_ADDRESS [PLATFORM]]
#   FIRST_ADDRESS  first three numbers of the instances' addresses (127.10.0)
#   PLATFORM       address of the platform's services (127.10.0.250)
set -euo pipefail
example=${1:?usage: make-settings.sh EXAMPLE OUT_DIR [FIRST_ADDRESS [PLATFORM]]}
out=${2:?usage: make-settings.sh EXAMPLE OUT_DIR [FIRST_ADDRESS [PLATFORM]]}
network=${3:-127.10.0}
platform=${4:-$network.250}
next=1
mkdir -p "$out"

# The SHA-256 of a text, which also serves as a 32-byte trial key.
sha() { printf %s "$1" | sha256sum | cut -c1-64; }

# settings ROLE INSTANCE DOMAIN [SERVICE VERSIONS]
settings() {
  local role=$1 instance=$2 domain=$3 service=${4:-} versions=${5:-}
  local address=$network.$next
  next=$((next + 1))
  {
    cat <<INI
[process]
role = $role
instance = $instance
failure_domain = $domain
threads = 4
log = json

[listen]
address = $address
http_port = 8080
rpc_port = 9080
max_body = 8MiB

[platform]
store = http://$platform:8500
instances = http://$platform:8501
ratings = http://$platform:8502
weights = http://$platform:8503

[security]
fleet_key = $(sha "$example trial fleet key")
session_key = $(sha "$example trial session key")
admin_key_hash = $(sha "$example-trial-admin-key")
INI
    if [ "$role" = sidecar ]; then
      cat <<INI

[runner]
address = http://$address:7000
service = $service
versions = $versions
INI
    fi
  } >"$out/$instance.ini"
}

# sidecars SERVICE COUNT VERSIONS DOMAIN...: spread over the failure domains.
sidecars() {
  local service=$1 count=$2 versions=$3
  shift 3
  local domains=("$@") n domain
  for ((n = 1; n <= count; ++n)); do
    domain=${domains[$(((n - 1) % ${#domains[@]}))]}
    settings sidecar "$service-$domain-$n" "$domain" "$service" "$versions"
  done
}

case $example in
vembanad)
  domains=(kochi-a kochi-b tvm-a kzd-a)
  for domain in "${domains[@]}"; do
    settings entry "entry-$domain" "$domain"
  done
  sidecars drafting 8 "draft-small@3, draft-small@4" "${domains[@]}"
  for n in 9 10 11 12; do
    domain=${domains[$((n - 9))]}
    settings sidecar "drafting-$domain-$n" "$domain" drafting "draft-large@2"
  done
  sidecars desk 4 "desk@7" "${domains[@]}"
  ;;
asantewaa)
  domains=(accra-airport accra-osu tema-port)
  for domain in "${domains[@]}"; do
    settings entry "entry-$domain" "$domain"
  done
  sidecars fitting 6 "fit-small@5, fit-large@4" "${domains[@]}"
  for n in 7 8 9 10 11 12; do
    domain=${domains[$(((n - 7) % 3))]}
    settings sidecar "fitting-$domain-$n" "$domain" fitting \
      "fit-large@4, fit-large@5"
  done
  sidecars booking 3 "booking@12" "${domains[@]}"
  ;;
*)
  echo "make-settings.sh: unknown example '$example'" >&2
  exit 2
  ;;
esac
