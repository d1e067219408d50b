#include "cowslipridge/http1/internal/ResponseWriter.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cowslipridge::http1::internal {

void ResponseWriter::begin(const ResponseHead &head,
                           const RequestHead *request) {
  Begun = true;
  IsHeadRequest = request != nullptr && request->Method == "HEAD";
  BodyFraming = head.Body;
  Pending += writeHead(head);
}

void ResponseWriter::send(std::string_view data) {
  if (!Begun || Ended || IsHeadRequest)
    return;
  if (BodyFraming == Framing::Chunked)
    Pending += writeChunk(data);
  else
    Pending += data;
}

void ResponseWriter::end() {
  Ended = true;
  if (BodyFraming == Framing::Chunked && !IsHeadRequest)
    Pending += LastChunk;
}

void ResponseWriter::restart() {
  Begun = false;
  Ended = false;
}

void ResponseWriter::flush(WriteHandler onWritten) {
  if (!Writing.empty() || Pending.empty())
    return;
  Writing = std::exchange(Pending, {});
  boost::asio::async_write(
      Peer, boost::asio::buffer(Writing),
      [handler = std::move(onWritten)](const auto &ec, std::size_t /*n*/) {
        handler(ec);
      });
}

} // namespace cowslipridge::http1::internal
