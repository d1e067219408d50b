#pragma once

#include <string_view>

/// Declarations and settings that several tests start from.
namespace cowslipridge::support {

inline constexpr std::string_view DraftingText = R"(; season drafts
[service]
name = drafting
kind = model
deadline = 10min
max_wait = 8min
deferrable = yes

[version small@1]
engine_model = small-7b
cost_per_1k_tokens = 0.2
expected_quality = 0.7

[version small@2]
state = trial
cost_per_1k_tokens = 0.15

[organisation thrissur-bowls]
key_hashes = 1111111111111111111111111111111111111111111111111111111111111111,
  2222222222222222222222222222222222222222222222222222222222222222
allowed = small@1, small@2
quality_target = 0.65
weight = 3
max_in_flight = 20

[rollout]
trial = small@2
replaces = small@1
steps = 0.05, 0.25, 1
)";

inline constexpr std::string_view DeskText = R"([service]
name = desk
kind = plain
checks_fencing = yes

[version desk@5]

[organisation thrissur-bowls]
key_hashes = 1111111111111111111111111111111111111111111111111111111111111111
allowed = desk@5

[call enter-result]
method = POST
path = /results
idempotent = no
)";

inline constexpr std::string_view SidecarText = R"([process]
role = sidecar
instance = drafting-kochi-a-1
failure_domain = kochi-a
threads = 2
log = json

[listen]
address = 127.0.0.1
http_port = 8080
rpc_port = 9080
max_body = 4MiB

[platform]
store = http://127.0.0.1:8500
instances = http://127.0.0.1:8501
ratings = http://127.0.0.1:8502

[security]
fleet_key = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
session_key = 101112131415161718191a1b1c1d1e1f000102030405060708090a0b0c0d0e0f
admin_key_hash = 202122232425262728292a2b2c2d2e2f000102030405060708090a0b0c0d0e0f

[runner]
address = http://127.0.0.1:7000
service = drafting
versions = small@1, small@2
)";

} // namespace cowslipridge::support
