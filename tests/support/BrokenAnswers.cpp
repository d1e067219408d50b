#include "support/BrokenAnswers.hpp"

namespace cowslipridge::support {

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunks = "2\r\nok\r\n0\r\n\r\n";
const std::string Rest = "Content-Length: 2\r\n\r\nok";

} // namespace

std::vector<BrokenAnswer> brokenAnswers(const std::string &fields) {
  const auto withStatus = [&](const std::string &status) {
    return "HTTP/1.1 " + status + "\r\n" + fields + Rest;
  };
  const auto withLine = [&](const std::string &line) {
    return Ok + fields + line + "\r\n" + Rest;
  };
  const auto withFraming = [&](const std::string &lines,
                               const std::string &body) {
    return Ok + fields + lines + "\r\n" + body;
  };
  const auto withChunks = [&](const std::string &chunks) {
    return withFraming("Transfer-Encoding: chunked\r\n", chunks);
  };
  const std::string sound = Ok + fields + Rest;
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
      {"ControlByteInValue", withLine("Name: a\x01"
                                      "b")},
      {"NulInValue", withLine(std::string("Name: a\0b", 9))},
      {"CarriageReturnInValue", withLine("Name: a\rb")},
      {"LineFeedAloneEndsLine", withLine("Name: a\nOther: b")},
      {"LineFeedAloneEndsHead", Ok + fields + "Content-Length: 2\n\nok"},
      {"LineFeedAloneEndsStatus", "HTTP/1.1 200 OK\n" + fields + Rest},
      {"VersionTwo", "HTTP/2.0 200 OK\r\n" + fields + Rest},
      {"VersionBelowOne", "HTTP/0.9 200 OK\r\n" + fields + Rest},
      {"ProtocolInLowerCase", "http/1.1 200 OK\r\n" + fields + Rest},
      {"AnotherProtocol", "ICY 200 OK\r\n" + fields + Rest},
      {"NoHead", "ok"},
      {"EmptyLineBeforeHead", "\r\n" + Ok + fields + Rest},
      {"LengthInContinuedLine", Ok + fields + "Name: 1\r\n " + Rest},
      {"CodedBody", withFraming("Transfer-Encoding: gzip\r\n", Chunks)},
      {"CodedBodyInChunks",
       withFraming("Transfer-Encoding: gzip, chunked\r\n", Chunks)},
      {"IdentityCoding", withFraming("Transfer-Encoding: identity\r\n", "ok")},
      {"ChunkedNotLast",
       withFraming("Transfer-Encoding: chunked, gzip\r\n", Chunks)},
      {"ChunkedTwice",
       withFraming("Transfer-Encoding: chunked, chunked\r\n", Chunks)},
      {"CodingEmpty", withFraming("Transfer-Encoding:\r\n", Chunks)},
      {"CodingWithParameter",
       withFraming("Transfer-Encoding: chunked;q=1\r\n", Chunks)},
      {"TwoCodings", withFraming("Transfer-Encoding: chunked\r\n"
                                 "Transfer-Encoding: chunked\r\n",
                                 Chunks)},
      {"ChunkedInOldVersion", "HTTP/1.0 200 OK\r\n" + fields +
                                  "Transfer-Encoding: chunked\r\n\r\n" +
                                  Chunks},
      {"LengthAndChunks",
       withFraming("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                   Chunks)},
      {"LengthsDiffer",
       withFraming("Content-Length: 2\r\nContent-Length: 3\r\n", "ok!")},
      {"LengthsInOneFieldDiffer",
       withFraming("Content-Length: 2, 3\r\n", "ok!")},
      {"LengthNegative", withFraming("Content-Length: -2\r\n", "ok")},
      {"LengthWithSign", withFraming("Content-Length: +2\r\n", "ok")},
      {"LengthHexadecimal", withFraming("Content-Length: 0x2\r\n", "ok")},
      {"LengthNoNumber", withFraming("Content-Length: two\r\n", "ok")},
      {"LengthEmpty", withFraming("Content-Length:\r\n", "ok")},
      {"LengthTooLarge",
       withFraming("Content-Length: 18446744073709551618\r\n", "ok")},
      {"BodyShort", withFraming("Content-Length: 3\r\n", "ok")},
      {"ChunkShort", withChunks("3\r\nok")},
      {"ChunksWithoutEnd", withChunks("2\r\nok\r\n")},
      {"LastChunkCut", withChunks("2\r\nok\r\n0\r\n")},
      {"ChunkSizeNoNumber", withChunks("two\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeWithSign", withChunks("+2\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeNegative", withChunks("-2\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeWithPrefix", withChunks("0x2\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeBehindBlank", withChunks(" 2\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeTooLarge", withChunks("10000000000000002\r\nok\r\n0\r\n\r\n")},
      {"ChunkSizeEmpty", withChunks("\r\nok\r\n0\r\n\r\n")},
      {"ChunkLongerThanItsSize", withChunks("2\r\nok!\r\n0\r\n\r\n")},
      {"ChunkEndsWithLineFeed", withChunks("2\nok\n0\n\n")},
      {"TrailerWithoutColon", withChunks("2\r\nok\r\n0\r\nName\r\n\r\n")},
      {"BodyOfNoContent", "HTTP/1.1 204 No Content\r\n" + fields + Rest},
      {"ChunksOfNoContent", "HTTP/1.1 204 No Content\r\n" + fields +
                                "Transfer-Encoding: chunked\r\n\r\n" + Chunks},
      {"BodyOfInterimResponse",
       "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok" + sound},
      {"LengthOfInterimResponse",
       "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + sound},
      {"InterimResponseAlone", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

} // namespace cowslipridge::support
