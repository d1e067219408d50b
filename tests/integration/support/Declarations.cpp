#include "Declarations.hpp"

#include <openssl/sha.h>

#include <array>

namespace cowslipridge::integration {

std::string hashKey(const std::string &key) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash = {};
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(),
         hash.data());
  std::string text;
  for (const unsigned char byte : hash) {
    text += Digits[byte / 16];
    text += Digits[byte % 16];
  }
  return text;
}

std::string fittingText(const std::string &smallState) {
  return R"([service]
name = fitting
kind = model
deadline = 30s
max_wait = 10s

[version small@1]
state = )" +
         smallState + R"(
engine_model = small
cost_per_1k_tokens = 0.2
expected_quality = 0.8

[version large@1]
engine_model = large
cost_per_1k_tokens = 2
expected_quality = 0.95

[organisation stewards]
key_hashes = )" +
         hashKey(StewardKey) + R"(
allowed = small@1
quality_target = 0.5

[organisation parents]
key_hashes = )" +
         hashKey(ParentKey) + R"(
allowed = small@1, large@1
quality_target = 0.5
)";
}

std::string deskText() {
  return R"([service]
name = desk
kind = plain
deadline = 10s
shards = 8

[version desk@1]

[organisation stewards]
key_hashes = )" +
         hashKey(StewardKey) + R"(
allowed = desk@1

[call book]
method = POST
path = /bookings
idempotent = no

[call list]
method = GET
path = /rinks
idempotent = yes
)";
}

} // namespace cowslipridge::integration
