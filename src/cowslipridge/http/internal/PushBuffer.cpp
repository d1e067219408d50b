#include "cowslipridge/http/internal/PushBuffer.hpp"

#include <utility>

namespace cowslipridge::http::internal {

PushBuffer::PushBuffer(Sink sink)
    : streambuf_state_manager(std::ios_base::out), OnWrite(std::move(sink)) {}

PushBuffer::pos_type PushBuffer::getpos(std::ios_base::openmode) const {
  return static_cast<pos_type>(traits::eof());
}

PushBuffer::pos_type PushBuffer::seekpos(pos_type, std::ios_base::openmode) {
  return static_cast<pos_type>(traits::eof());
}

PushBuffer::pos_type PushBuffer::seekoff(off_type, std::ios_base::seekdir,
                                         std::ios_base::openmode) {
  return static_cast<pos_type>(traits::eof());
}

bool PushBuffer::acquire(std::uint8_t *&ptr, std::size_t &count) {
  ptr = nullptr;
  count = 0;
  return false;
}

pplx::task<PushBuffer::int_type> PushBuffer::_putc(std::uint8_t c) {
  OnWrite(std::string(1, static_cast<char>(c)));
  return pplx::task_from_result<int_type>(c);
}

pplx::task<std::size_t> PushBuffer::_putn(const std::uint8_t *ptr,
                                          std::size_t count) {
  OnWrite(std::string(reinterpret_cast<const char *>(ptr), count));
  return pplx::task_from_result(count);
}

pplx::task<PushBuffer::int_type> PushBuffer::_bumpc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

PushBuffer::int_type PushBuffer::_sbumpc() { return traits::eof(); }

pplx::task<PushBuffer::int_type> PushBuffer::_getc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

PushBuffer::int_type PushBuffer::_sgetc() { return traits::eof(); }

pplx::task<PushBuffer::int_type> PushBuffer::_nextc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<PushBuffer::int_type> PushBuffer::_ungetc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<std::size_t> PushBuffer::_getn(std::uint8_t *, std::size_t) {
  return pplx::task_from_result<std::size_t>(0);
}

std::size_t PushBuffer::_scopy(std::uint8_t *, std::size_t) { return 0; }

pplx::task<bool> PushBuffer::_sync() { return pplx::task_from_result(true); }

} // namespace cowslipridge::http::internal
