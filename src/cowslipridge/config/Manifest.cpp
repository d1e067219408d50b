#include "cowslipridge/config/Manifest.hpp"

#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/internal/Units.hpp"
#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace cowslipridge::config {

namespace {

using nlohmann::json;

constexpr std::string_view ContentPrefix = "cowslipridge/config/content/";
constexpr std::size_t HashDigits = 64;

std::string dump(const json &value) {
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

core::Generation generationAt(const json &value, const char *key) {
  const json &number = value.at(key);
  if (!number.is_number_unsigned())
    throw std::invalid_argument("not a generation");
  return core::Generation(number.get<std::uint64_t>());
}

std::string hashFrom(const json &value) {
  std::string hash = value.get<std::string>();
  if (!internal::isLowerHex(hash, HashDigits))
    throw std::invalid_argument("not a content hash");
  return hash;
}

ManifestEntry entryFrom(const json &value) {
  ManifestEntry entry;
  if (!value.at("content").get<std::string>().empty())
    entry.Content = hashFrom(value.at("content"));
  entry.ChangedAt = generationAt(value, "changed_at");
  entry.Publisher = value.at("publisher").get<std::string>();
  entry.Publication = value.at("publication").get<std::string>();
  return entry;
}

Manifest manifestFrom(const json &value) {
  Manifest manifest;
  manifest.Number = generationAt(value, "generation");
  for (const auto &[name, entry] : value.at("services").items()) {
    if (name.empty())
      throw std::invalid_argument("service without a name");
    manifest.Services.emplace(name, entryFrom(entry));
  }
  for (const json &it : value.at("retired"))
    manifest.Retired.push_back(hashFrom(it));
  return manifest;
}

} // namespace

std::string encodeManifest(const Manifest &manifest) {
  json services = json::object();
  for (const auto &[name, entry] : manifest.Services)
    services[name.str()] = {{"content", entry.Content},
                            {"changed_at", entry.ChangedAt.value()},
                            {"publisher", entry.Publisher},
                            {"publication", entry.Publication}};
  return dump({{"generation", manifest.Number.value()},
               {"services", std::move(services)},
               {"retired", manifest.Retired}});
}

core::Result<Manifest> decodeManifest(std::string_view text) {
  try {
    return manifestFrom(json::parse(text));
  } catch (const std::exception &) {
    return core::Errc::InvalidConfig;
  }
}

std::string encodeContent(const ServiceContent &content) {
  return dump({{"publication", content.Publication},
               {"service", json::parse(encodeService(content.Service))}});
}

core::Result<ServiceContent> decodeContent(std::string_view text) {
  try {
    const json value = json::parse(text);
    auto service = decodeService(value.at("service").dump());
    if (!service.ok())
      return service.error();
    return ServiceContent{value.at("publication").get<std::string>(),
                          std::move(service).value()};
  } catch (const std::exception &) {
    return core::Errc::InvalidConfig;
  }
}

std::string contentKey(std::string_view hash) {
  return std::string(ContentPrefix) + std::string(hash);
}

} // namespace cowslipridge::config
