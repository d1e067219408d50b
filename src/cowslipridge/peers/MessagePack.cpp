#include "cowslipridge/peers/MessagePack.hpp"

#include "cowslipridge/core/Error.hpp"

namespace cowslipridge::peers {

namespace {

using nlohmann::json;

/// Stops the parser at a value that is nested too deeply.
class NestingCheck final : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t & /*text*/) override {
    return true;
  }
  bool string(string_t & /*value*/) override { return true; }
  bool binary(binary_t & /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override { return enter(); }
  bool key(string_t & /*name*/) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*size*/) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                   const json::exception & /*error*/) override {
    return false;
  }

private:
  bool enter() { return ++Depth <= MaxNesting; }
  bool leave() {
    --Depth;
    return true;
  }

  std::size_t Depth = 0;
};

} // namespace

core::Result<nlohmann::json> parseMessagePack(std::string_view bytes) {
  try {
    NestingCheck check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack))
      return core::Errc::Malformed;
    return json::from_msgpack(bytes);
  } catch (const json::exception &) {
    return core::Errc::Malformed;
  }
}

} // namespace cowslipridge::peers
