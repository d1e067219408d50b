#include "integration/platform/CrowdKinds.hpp"

#include <array>
#include <string_view>

namespace cowslipridge::integration {

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t Clients = 200;
constexpr std::size_t ConnectingClients = 400;

std::string repeat(std::string_view text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() + text.size() <= bytes)
    repeated += text;
  return repeated;
}

std::string headOf(const CrowdTarget &target, const std::string &fields) {
  return "POST " + target.Path + " HTTP/1.1\r\nHost: " + target.Host +
         "\r\nAttempt-Id: crowd\r\nAuthorization: Token " + target.Key +
         "\r\nDeadline-Remaining: 3500\r\n" + fields + "\r\n";
}

using Target = const CrowdTarget &;

constexpr std::array<CrowdKind, 11> Kinds = {{
    {"bodiesInOnePiece", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, CrowdMaxBodyBytes), CrowdMaxBodyBytes + KiB, {}};
     }},
    {"bodiesInSmallPieces", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 256 * KiB), KiB, {}};
     }},
    {"bodiesInChunks", Clients,
     [](Target it) -> ClientScript {
       return {chunksWithoutEnd(it, CrowdMaxBodyBytes / 2), KiB, {}};
     }},
    {"smallBodies", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 16 * KiB), 4 * KiB, {}};
     }},
    {"bodiesOverTheLimit", Clients,
     [](Target it) -> ClientScript {
       return {cutRequest(it, 8 * CrowdMaxBodyBytes)};
     }},
    {"chunksOverTheLimit", Clients,
     [](Target it) -> ClientScript {
       return {chunksWithoutEnd(it, 8 * CrowdMaxBodyBytes)};
     }},
    {"shortFields", Clients,
     [](Target it) -> ClientScript {
       return {headOf(it, lengthField(2) +
                              repeat("a:\r\n", CrowdMaxHeaderBytes - KiB)) +
               "x"};
     }},
    {"requestsSentAhead", Clients,
     [](Target it) -> ClientScript {
       return {repeat(headOf(it, lengthField(1)) + "x", 256 * KiB)};
     }},
    {"slowHeads", Clients,
     [](Target it) -> ClientScript {
       const std::string field =
           "Field: " + std::string(CrowdMaxHeaderBytes / 2, 'x');
       return {headOf(it, field), 1, core::Millis(20)};
     }},
    {"connectionsWithoutARequest", ConnectingClients,
     [](Target) -> ClientScript { return {}; }},
    {"halfHeads", ConnectingClients,
     [](Target it) -> ClientScript {
       const std::string head = headOf(it, "");
       return {head.substr(0, head.size() / 2)};
     }},
}};

} // namespace

std::span<const CrowdKind> crowdKinds() { return Kinds; }

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string cutRequest(const CrowdTarget &target, std::size_t bytes) {
  return headOf(target, lengthField(bytes)) + std::string(bytes - 1, 'x');
}

std::string chunksWithoutEnd(const CrowdTarget &target, std::size_t bytes) {
  const std::string chunk = "400\r\n" + std::string(KiB, 'x') + "\r\n";
  return headOf(target, "Transfer-Encoding: chunked\r\n") +
         repeat(chunk, bytes);
}

} // namespace cowslipridge::integration
