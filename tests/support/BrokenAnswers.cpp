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
  const auto withLine = [&](const std::string &line) {
    return Ok + fields + line + "\r\n" + Rest;
  };
  return {
      {"StatusZero", withStatus("000 ")},
      {"StatusBelowAll", withStatus("099 Text")},
      {"StatusAboveAll", withStatus("600 Text")},
      {"StatusOfTwoDigits", withStatus("20 OK")},
      {"StatusOfFourDigits", withStatus("2000 OK")},
      {"StatusNoNumber", withStatus("2x0 OK")},
      {"ProtocolsSwitched", withStatus("101 Switching Protocols")},
      {"BlankInName", withLine("Some Name: 1")},
      {"BlankBeforeName", Ok + " Name: 1\r\n" + fields + Rest},
      {"BlankBehindName", withLine("Name : 1")},
      {"ControlByteInName", withLine("Na\x01me: 1")},
      {"ControlByteBeforeName", withLine("\x01Name: 1")},
      {"NulInName", withLine(std::string("Na\0me: 1", 8))},
      {"TabInName", withLine("Na\tme: 1")},
      {"NameEmpty", withLine(": 1")},
      {"NameWithoutColon", withLine("Name")},
      {"LineContinued", withLine("Name: 1\r\n Other: 2")},
      {"LineContinuedByTab", withLine("Name: 1\r\n\tOther: 2")},
      {"LengthInContinuedLine", Ok + fields + "Name: 1\r\n " + Rest},
  };
}

} // namespace cowslipridge::support
