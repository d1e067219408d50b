#pragma once

#include <cpprest/astreambuf.h>

#include <cstdint>
#include <functional>
#include <string>

namespace cowslipridge::http::internal {

/// A write-only stream buffer that passes each write to a callback at once.
/// cpprestsdk's own buffers deliver nothing until they hold as many bytes as
/// the reader requested, which would delay server-sent events.
class PushBuffer final
    : public concurrency::streams::details::streambuf_state_manager<
          std::uint8_t> {
public:
  using Sink = std::function<void(std::string chunk)>;

  explicit PushBuffer(Sink sink);

  [[nodiscard]] bool can_seek() const override { return false; }
  [[nodiscard]] bool has_size() const override { return false; }
  [[nodiscard]] std::size_t
  buffer_size(std::ios_base::openmode) const override {
    return 0;
  }
  void set_buffer_size(std::size_t, std::ios_base::openmode) override {}
  [[nodiscard]] std::size_t in_avail() const override { return 0; }
  [[nodiscard]] pos_type getpos(std::ios_base::openmode) const override;
  pos_type seekpos(pos_type, std::ios_base::openmode) override;
  pos_type seekoff(off_type, std::ios_base::seekdir,
                   std::ios_base::openmode) override;
  bool acquire(std::uint8_t *&ptr, std::size_t &count) override;
  void release(std::uint8_t *, std::size_t) override {}

protected:
  pplx::task<int_type> _putc(std::uint8_t c) override;
  pplx::task<std::size_t> _putn(const std::uint8_t *ptr,
                                std::size_t count) override;
  pplx::task<int_type> _bumpc() override;
  int_type _sbumpc() override;
  pplx::task<int_type> _getc() override;
  int_type _sgetc() override;
  pplx::task<int_type> _nextc() override;
  pplx::task<int_type> _ungetc() override;
  pplx::task<std::size_t> _getn(std::uint8_t *ptr, std::size_t count) override;
  std::size_t _scopy(std::uint8_t *ptr, std::size_t count) override;
  pplx::task<bool> _sync() override;
  std::uint8_t *_alloc(std::size_t) override { return nullptr; }
  void _commit(std::size_t) override {}

private:
  Sink OnWrite;
};

} // namespace cowslipridge::http::internal
