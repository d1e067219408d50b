#include "support/BrokenAnswers.hpp"

namespace cowslipridge::support {

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Rest = "Content-Length: 2\r\n\r\nok";

} // namespace

std::vector<BrokenAnswer> brokenAnswers(const std::string &fields) {
  const auto withStatus = [&](const std::string &status) {
    return "HTTP/1.1 " + status + "\r\n" + fields + Rest;
  };
  return {
      {"StatusZero", withStatus("000 ")},
      {"StatusBelowAll", withStatus("099 Text")},
      {"StatusAboveAll", withStatus("600 Text")},
      {"StatusOfTwoDigits", withStatus("20 OK")},
      {"StatusOfFourDigits", withStatus("2000 OK")},
      {"StatusNoNumber", withStatus("2x0 OK")},
      {"ProtocolsSwitched", withStatus("101 Switching Protocols")},
  };
}

} // namespace cowslipridge::support
