#include "cowslipridge/config/GatewaySettings.hpp"

#include "cowslipridge/config/internal/DocumentReader.hpp"
#include "cowslipridge/config/internal/Units.hpp"

#include <arpa/inet.h>

#include <array>

namespace cowslipridge::config {

namespace {

using internal::SectionReader;

constexpr std::array<std::string_view, 6> SectionNames = {
    "process", "listen", "regions", "store", "admission", "promises"};
constexpr internal::Choice<bool> Switch[] = {{"on", true}, {"off", false}};
constexpr std::uint64_t MaxPort = 65'535;
constexpr double MaxAllowance = 1e6;
constexpr double MaxColdOvershoot = 100;
constexpr core::Millis MaxGracePeriod{600'000};
constexpr std::size_t MinMemory = 32UL * 1024 * 1024;
constexpr std::size_t MaxMemory = 64UL * 1024 * 1024 * 1024;
constexpr std::size_t MinDescriptors = 64;
constexpr std::size_t MaxDescriptors = 1'000'000;
constexpr core::Millis MinChangeDeadline{500};
constexpr core::Millis MaxWindow{600'000};
constexpr std::string_view AddressExample = "10.0.0.5:8080";

SocketAddress readAddress(SectionReader &reader, std::string_view key) {
  const std::string text = reader.requireText(key, std::string(AddressExample));
  const auto address = parseSocketAddress(text);
  if (!address && !text.empty())
    reader.fail(key, "'" + text + "' is not a numeric address with a port",
                std::string(AddressExample));
  return address.value_or(SocketAddress{});
}

GatewaySettings readAll(internal::DocumentReader &document) {
  GatewaySettings settings;
  SectionReader process = document.open("process");
  settings.Instance =
      core::InstanceId(process.requireName("instance", "gateway-kochi-a-1"));
  settings.Domain =
      core::FailureDomainId(process.requireName("failure_domain", "kochi-a"));
  settings.GracePeriod = process.duration("grace_period", settings.GracePeriod,
                                          core::Millis(1'000), MaxGracePeriod);
  settings.Memory =
      process.size("memory", settings.Memory, MinMemory, MaxMemory);
  if (process.has("descriptors"))
    settings.Descriptors = process.count("descriptors", MinDescriptors,
                                         MinDescriptors, MaxDescriptors);
  process.finish();

  SectionReader listen = document.open("listen");
  settings.Callers = readAddress(listen, "callers");
  settings.Readiness = readAddress(listen, "readiness");
  settings.Peers = readAddress(listen, "peers");
  if (listen.has("metrics"))
    settings.Metrics = readAddress(listen, "metrics");
  listen.finish();

  SectionReader regions = document.open("regions");
  for (const std::string &it : regions.keys())
    settings.Regions.emplace(core::FailureDomainId(it),
                             regions.requireName(it, "kerala"));
  regions.finish();

  SectionReader store = document.open("store");
  settings.Store = readAddress(store, "address");
  store.finish();

  SectionReader admission = document.open("admission");
  settings.AdmissionOrder =
      admission.choice("order", settings.AdmissionOrder, Switch);
  admission.finish();

  SectionReader promises = document.open("promises");
  settings.Retries.PerRequest =
      promises.decimal("retry_ratio", settings.Retries.PerRequest, 0, 100);
  settings.Retries.Fixed = promises.decimal(
      "retry_allowance", settings.Retries.Fixed, 0, MaxAllowance);
  settings.Retries.Window = promises.duration(
      "retry_window", settings.Retries.Window, core::Millis(100), MaxWindow);
  settings.Exposure.Fraction =
      promises.decimal("exposure_fraction", settings.Exposure.Fraction, 0, 1);
  settings.Exposure.Fixed = promises.decimal(
      "exposure_allowance", settings.Exposure.Fixed, 0, MaxAllowance);
  settings.Cold.Overshoot = promises.decimal(
      "cold_overshoot", settings.Cold.Overshoot, 1, MaxColdOvershoot);
  settings.Cold.Fixed =
      promises.decimal("cold_allowance", settings.Cold.Fixed, 0, MaxAllowance);
  settings.SessionLifetime = promises.duration(
      "session_lifetime", settings.SessionLifetime, core::Millis(0), MaxWindow);
  settings.ConfigurationDeadline = promises.duration(
      "configuration_deadline", settings.ConfigurationDeadline,
      MinChangeDeadline, MaxWindow);
  settings.DrainDeadline = promises.duration(
      "drain_deadline", settings.DrainDeadline, MinChangeDeadline, MaxWindow);
  promises.finish();
  return settings;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  SocketAddress address{std::string(text.substr(0, colon)), 0};
  const auto port = internal::parseCount(text.substr(colon + 1));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.Host.c_str(), &parsed) != 1 || !port ||
      *port == 0 || *port > MaxPort)
    return std::nullopt;
  address.Port = static_cast<std::uint16_t>(*port);
  return address;
}

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                    const std::string &file,
                                                    core::Findings &findings) {
  const std::size_t before = findings.items().size();
  const internal::IniDocument document =
      internal::readIni(text, file, findings);
  internal::DocumentReader reader(document, findings);
  reader.checkSections(SectionNames);
  GatewaySettings settings = readAll(reader);
  if (findings.items().size() != before)
    return std::nullopt;
  return settings;
}

} // namespace cowslipridge::config
