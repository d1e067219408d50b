#include "cowslipridge/config/Settings.hpp"

#include "cowslipridge/config/internal/DocumentReader.hpp"
#include "cowslipridge/config/internal/Names.hpp"
#include "cowslipridge/config/internal/Units.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

namespace cowslipridge::config {

namespace {

using internal::Choice;
using internal::IniDocument;
using internal::SectionReader;

constexpr std::size_t MaxThreads = 256;
constexpr std::size_t MinBodyBytes = 1'024;
constexpr std::size_t MaxBodyBytes = 256UL * 1'024 * 1'024;
constexpr std::uint64_t MaxWatchers = 100'000;
constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t KeyDigits = 64;

constexpr std::array<std::string_view, 5> SectionNames = {
    "process", "listen", "platform", "security", "runner"};

constexpr Choice<DaemonRole> Roles[] = {{"entry", DaemonRole::Entry},
                                        {"sidecar", DaemonRole::Sidecar}};
constexpr Choice<bool> LogFormats[] = {{"text", false}, {"json", true}};

bool isIpAddress(const std::string &text) {
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

/// Fills the settings section by section.
class Parser {
public:
  Parser(const IniDocument &document, core::Findings &findings)
      : Reader(document, findings) {}

  DaemonSettings run() {
    Reader.checkSections(SectionNames);
    readProcess();
    readListen();
    readPlatform();
    readSecurity();
    readRunner();
    return std::move(Settings);
  }

private:
  void readProcess() {
    SectionReader reader = Reader.open("process");
    if (!reader.has("role"))
      reader.fail("role", "the key is missing",
                  "role = entry or role = sidecar");
    Settings.Role = reader.choice("role", Settings.Role, Roles);
    Settings.Instance =
        core::InstanceId(reader.requireName("instance", "entry-kochi-a-1"));
    Settings.Domain =
        core::FailureDomainId(reader.requireName("failure_domain", "kochi-a"));
    Settings.Threads = reader.count("threads", Settings.Threads, 1, MaxThreads);
    Settings.JsonLog = reader.choice("log", Settings.JsonLog, LogFormats);
    reader.finish();
  }

  void readListen() {
    SectionReader reader = Reader.open("listen");
    Settings.Address = reader.requireText("address", "127.0.0.1");
    if (!Settings.Address.empty() && !isIpAddress(Settings.Address))
      reader.fail("address", "'" + Settings.Address + "' is not an IP address",
                  "an IP address such as 127.0.0.1");
    Settings.HttpPort = readPort(reader, "http_port", "8080", true);
    const bool listensToPeers = Settings.Role == DaemonRole::Sidecar;
    Settings.RpcPort = readPort(reader, "rpc_port", "9080", listensToPeers);
    if (Settings.HttpPort != 0 && Settings.HttpPort == Settings.RpcPort)
      reader.fail("rpc_port", "http_port and rpc_port are the same",
                  "two different ports");
    Settings.MaxBodyBytes = reader.size("max_body", Settings.MaxBodyBytes,
                                        MinBodyBytes, MaxBodyBytes);
    reader.finish();
  }

  void readPlatform() {
    SectionReader reader = Reader.open("platform");
    Settings.StoreAddress = readUrl(reader, "store", true);
    Settings.InstancesAddress = readUrl(reader, "instances", true);
    Settings.RatingsAddress = readUrl(reader, "ratings", false);
    Settings.WeightsAddress = readUrl(reader, "weights", false);
    Settings.ConfigWatchers = static_cast<unsigned>(reader.count(
        "config_watchers", Settings.ConfigWatchers, 1, MaxWatchers));
    reader.finish();
  }

  void readSecurity() {
    SectionReader reader = Reader.open("security");
    Settings.FleetKey = readHex(reader, "fleet_key");
    Settings.SessionKey = readHex(reader, "session_key");
    Settings.AdminKeyHash = readHex(reader, "admin_key_hash");
    reader.finish();
  }

  void readRunner() {
    const internal::IniSection *declared = Reader.find("runner");
    if (Settings.Role == DaemonRole::Entry) {
      if (declared != nullptr)
        Reader.addFinding(declared->Line, "runner",
                          "an entry has no runner of its own",
                          "role = sidecar");
      return;
    }
    SectionReader reader = Reader.open("runner");
    RunnerSettings runner;
    runner.Address = readUrl(reader, "address", true);
    runner.Service = core::ServiceId(reader.requireName("service", "drafting"));
    if (!reader.has("versions"))
      reader.fail("versions", "the key is missing", "versions = small@1");
    for (std::string &it : reader.list("versions")) {
      if (!internal::isName(it))
        reader.fail("versions", "'" + it + "' is not a name",
                    std::string(internal::NameRule));
      runner.Versions.emplace_back(std::move(it));
    }
    Settings.Runner = std::move(runner);
    reader.finish();
  }

  static std::uint16_t readPort(SectionReader &reader, std::string_view key,
                                const std::string &example, bool required) {
    if (required && !reader.has(key))
      reader.fail(key, "the key is missing",
                  std::string(key) + " = " + example);
    return static_cast<std::uint16_t>(reader.count(key, 0, 1, MaxPort));
  }

  static std::string readUrl(SectionReader &reader, std::string_view key,
                             bool required) {
    const std::string example = "http://127.0.0.1:8500";
    std::string url =
        required ? reader.requireText(key, example) : reader.text(key, "");
    if (!url.empty() && !internal::isHttpUrl(url))
      reader.fail(key, "'" + url + "' is not an HTTP address",
                  "an address such as " + example);
    return url;
  }

  static std::string readHex(SectionReader &reader, std::string_view key) {
    std::string text =
        reader.requireText(key, "64 lower-case hexadecimal digits");
    // The value is a secret, so the finding does not include it.
    if (!text.empty() && !internal::isLowerHex(text, KeyDigits))
      reader.fail(key, "the value is not a 32-byte key in hexadecimal",
                  "64 lower-case hexadecimal digits");
    return text;
  }

  internal::DocumentReader Reader;
  DaemonSettings Settings;
};

} // namespace

std::optional<DaemonSettings> parseSettings(std::string_view text,
                                            const std::string &file,
                                            core::Findings &findings) {
  const std::size_t before = findings.items().size();
  const IniDocument document = internal::readIni(text, file, findings);
  DaemonSettings settings = Parser(document, findings).run();
  if (findings.items().size() != before)
    return std::nullopt;
  return settings;
}

} // namespace cowslipridge::config
