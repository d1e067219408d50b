#include "soak/Fleet.hpp"

#include "soak/platform/Callers.hpp"
#include "soak/platform/Crowds.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "support/ProcessMemory.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cowslipridge::soak {

namespace {

using integration::Process;

constexpr std::chrono::milliseconds StopLimit{8'000};
constexpr core::Millis ExitPollInterval{50};
constexpr unsigned GatewayDescriptors = 512;
constexpr int SlowLinkDelayMs = 150;
constexpr int SlowStoreDelayMs = 900;

json storeFaults(StoreFaultKind kind) {
  switch (kind) {
  case StoreFaultKind::Unavailable:
    return {{"unavailable", true}};
  case StoreFaultKind::Unresponsive:
    return {{"unresponsive", true}};
  case StoreFaultKind::Slow:
    return {{"delayMs", SlowStoreDelayMs}};
  case StoreFaultKind::LostReplies:
    return {{"lostReplies", true}};
  case StoreFaultKind::HistoryDropped:
  case StoreFaultKind::WatchesCut:
  case StoreFaultKind::Restored:
    break;
  }
  return json::object();
}

/// Returns the command of a fault that has no end; empty for the others.
std::string instantCommand(StoreFaultKind kind) {
  switch (kind) {
  case StoreFaultKind::HistoryDropped:
    return "/drop-history";
  case StoreFaultKind::WatchesCut:
    return "/cut-watches";
  case StoreFaultKind::Restored:
    return "/restore";
  case StoreFaultKind::Unavailable:
  case StoreFaultKind::Unresponsive:
  case StoreFaultKind::Slow:
  case StoreFaultKind::LostReplies:
    break;
  }
  return {};
}

} // namespace

/// A process that faults may end, pause and start again.
struct Fleet::Member {
  std::string Name;
  std::optional<Process> Running;
  /// A fault has ended it, or is about to; it starts again by itself.
  bool IsDown = false;
  /// Of a runner: how many ids its place has had before.
  unsigned Replaced = 0;
  long PeakKiB = 0;
};

Fleet::Fleet(boost::asio::io_context &loop, const core::Clock &clock,
             const Layout &layout, FleetFiles files)
    : Loop(loop), Clock(clock), Places(layout), Files(std::move(files)),
      Control(loop, clock) {
  for (const RunnerPlace &it : Places.Runners) {
    Runners.push_back(std::make_unique<Member>());
    Runners.back()->Name = it.Id;
  }
  for (const GatewayPlace &it : Places.Gateways) {
    Gateways.push_back(std::make_unique<Member>());
    Gateways.back()->Name = it.Name;
  }
}

Fleet::~Fleet() = default;

std::string Fleet::path(const std::string &name) const {
  return Files.Folder + "/" + name;
}

void Fleet::startStandIns() {
  Store.emplace(
      Files.SoakProgram,
      std::vector<std::string>{"--role=store", "--listen=" + text(Places.Store),
                               "--control=" + text(Places.StoreControl)},
      path("store.log"));
  std::string links;
  for (const Link &it : Places.Links)
    links +=
        (links.empty() ? "" : ",") + text(it.Listen) + ">" + text(it.Target);
  Proxy.emplace(Files.SoakProgram,
                std::vector<std::string>{
                    "--role=proxy", "--control=" + text(Places.ProxyControl),
                    "--links=" + links},
                path("proxy.log"));
  for (std::size_t n = 0; n < Runners.size(); ++n)
    startRunner(n);
}

void Fleet::startRunner(std::size_t n) {
  const RunnerPlace &place = Places.Runners.at(n);
  Member &member = *Runners.at(n);
  const std::string id = runnerId(n);
  member.Running.emplace(
      Files.SoakProgram,
      std::vector<std::string>{
          "--role=runner", "--id=" + id, "--service=" + place.Service,
          std::string("--streams=") + (place.Streams ? "true" : "false"),
          "--listen=" + text(place.Listen), "--control=" + text(place.Control),
          "--advertised=" + text(Places.Links.at(place.Link).Listen),
          "--store_control=" + text(Places.StoreControl),
          "--journal=" + path(place.Id + ".journal")},
      path(place.Id + ".log"));
  member.IsDown = false;
}

std::string Fleet::runnerId(std::size_t n) const {
  const unsigned replaced = Runners.at(n)->Replaced;
  const std::string suffix =
      replaced == 0 ? "" : "-" + std::to_string(replaced);
  return Places.Runners.at(n).Id + suffix;
}

std::string Fleet::settingsOf(const GatewayPlace &place) const {
  std::ostringstream out;
  out << "[process]\ninstance = " << place.Name
      << "\nfailure_domain = zone-1\ngrace_period = " << GracePeriod.count()
      << "ms\nmemory = " << GatewayMemoryKiB
      << "KiB\ndescriptors = " << GatewayDescriptors
      << "\n[listen]\ncallers = " << text(place.Callers)
      << "\nreadiness = " << text(place.Readiness)
      << "\nmetrics = " << text(place.Metrics)
      << "\npeers = " << text(place.Peers) << "\n[store]\naddress = "
      << text(Places.Links.at(place.StoreLink).Listen)
      << "\n[promises]\nretry_ratio = 0.9\nretry_allowance = 54\n";
  return out.str();
}

void Fleet::startGateways() {
  for (std::size_t n = 0; n < Gateways.size(); ++n) {
    const GatewayPlace &place = Places.Gateways.at(n);
    std::ofstream(path(place.Name + ".ini")) << settingsOf(place);
    startGateway(n);
  }
}

void Fleet::startGateway(std::size_t n) {
  Member &member = *Gateways.at(n);
  member.Running.emplace(
      Files.GatewayProgram,
      std::vector<std::string>{"--settings", path(member.Name + ".ini")},
      path(member.Name + ".log"));
  member.IsDown = false;
}

void Fleet::publishConfiguration() {
  Control.send(Places.StoreControl, "/put",
               {{"key", ConfigurationKey},
                {"value", configurationFor(Places, ++ConfigurationVersion)}});
}

void Fleet::later(core::Millis wait, std::function<void()> action) {
  Timers.push_back(std::make_unique<http1::LoopTimer>(Loop));
  Timers.back()->start(wait, std::move(action));
}

void Fleet::apply(const Fault &fault) {
  std::visit(
      core::Overloaded{
          [this](const GatewayKill &it) {
            kill(*Gateways.at(it.Gateway), it.Down,
                 [this, it] { startGateway(it.Gateway); });
          },
          [this](const GatewayStop &it) { stopGateway(it.Gateway, it.Down); },
          [this](const GatewayPause &it) {
            pause(*Gateways.at(it.Gateway), it.For);
          },
          [this](const RunnerKill &it) {
            kill(*Runners.at(it.Runner), it.Down,
                 [this, it] { startRunner(it.Runner); });
          },
          [this](const RunnerReplacement &it) {
            kill(*Runners.at(it.Runner), it.Down, [this, it] {
              ++Runners.at(it.Runner)->Replaced;
              startRunner(it.Runner);
            });
          },
          [this](const CallerCrowd &it) { startCrowd(it); },
          [this](const RunnerPause &it) {
            pause(*Runners.at(it.Runner), it.For);
          },
          [this](const RunnerDeviation &it) { deviate(it); },
          [this](const ServicePause &it) {
            forEachRunner(it.Streams, [&](std::size_t n) {
              pause(*Runners.at(n), it.For);
            });
          },
          [this](const ServiceDeviation &it) {
            forEachRunner(it.Streams, [&](std::size_t n) {
              deviate({n, it.What, 1, it.For});
            });
          },
          [this](const LinkFault &it) { apply(it); },
          [this](const StoreFault &it) { apply(it); }},
      fault);
}

std::vector<std::string> Fleet::subjectsOf(const Fault &fault) const {
  using Names = std::vector<std::string>;
  const auto runnersOf = [this](bool streams) {
    Names names;
    for (std::size_t n = 0; n < Runners.size(); ++n) {
      if (Places.Runners.at(n).Streams == streams)
        names.push_back(Runners.at(n)->Name);
    }
    return names;
  };
  return std::visit(
      core::Overloaded{
          [this](const GatewayKill &it) {
            return Names{Gateways[it.Gateway]->Name};
          },
          [this](const GatewayStop &it) {
            return Names{Gateways[it.Gateway]->Name};
          },
          [this](const GatewayPause &it) {
            return Names{Gateways[it.Gateway]->Name};
          },
          [this](const CallerCrowd &it) {
            return Names{Gateways[it.Gateway]->Name};
          },
          [this](const LinkFault &it) {
            return Names{Places.Links[it.Link].Owner};
          },
          [](const StoreFault &) { return Names{}; },
          [&](const ServicePause &it) { return runnersOf(it.Streams); },
          [&](const ServiceDeviation &it) { return runnersOf(it.Streams); },
          [this](const auto &it) { return Names{Runners[it.Runner]->Name}; }},
      fault);
}

void Fleet::forEachRunner(bool streams,
                          const std::function<void(std::size_t)> &action) {
  for (std::size_t n = 0; n < Runners.size(); ++n) {
    if (Places.Runners.at(n).Streams == streams)
      action(n);
  }
}

void Fleet::kill(Member &member, core::Millis down,
                 std::function<void()> restart) {
  if (std::exchange(member.IsDown, true))
    return;
  member.Running->kill();
  later(down, std::move(restart));
}

void Fleet::pause(Member &member, core::Millis length) {
  if (member.IsDown)
    return;
  member.Running->suspend();
  later(length, [&member] { member.Running->resume(); });
}

void Fleet::stopGateway(std::size_t n, core::Millis down) {
  Member &member = *Gateways.at(n);
  if (std::exchange(member.IsDown, true))
    return;
  member.Running->terminate();
  later(GracePeriod, [this, &member, n, down] {
    member.Running->kill();
    later(down, [this, n] { startGateway(n); });
  });
}

void Fleet::deviate(const RunnerDeviation &fault) {
  const http1::Endpoint address = Places.Runners.at(fault.Runner).Control;
  Control.send(
      address, "/deviate",
      {{"what", std::string(toString(fault.What))}, {"every", fault.Every}});
  later(fault.For,
        [this, address] { Control.send(address, "/deviate", json::object()); });
}

void Fleet::apply(const LinkFault &fault) {
  const json link = {{"link", fault.Link}};
  if (fault.Kind == LinkFaultKind::Reset) {
    Control.send(Places.ProxyControl, "/reset", link);
    return;
  }
  if (fault.Kind == LinkFaultKind::Refused) {
    Control.send(Places.ProxyControl, "/refuse", link);
  } else {
    json faults = link;
    const json none = json::object();
    const json blocked = {{"blocked", true}};
    const json slow = {{"delayMs", SlowLinkDelayMs}};
    const bool isSlow = fault.Kind == LinkFaultKind::Slow;
    faults["toTarget"] = isSlow ? slow : blocked;
    faults["toCaller"] = isSlow ? slow : blocked;
    if (fault.Kind == LinkFaultKind::BlockedOneWay)
      faults["toTarget"] = none;
    Control.send(Places.ProxyControl, "/faults", faults);
  }
  later(fault.For,
        [this, link] { Control.send(Places.ProxyControl, "/clear", link); });
}

void Fleet::apply(const StoreFault &fault) {
  if (const std::string command = instantCommand(fault.Kind);
      !command.empty()) {
    Control.send(Places.StoreControl, command, json::object());
    return;
  }
  Control.send(Places.StoreControl, "/faults", storeFaults(fault.Kind));
  later(fault.For, [this] {
    Control.send(Places.StoreControl, "/faults", json::object());
  });
}

void Fleet::startCrowd(const CallerCrowd &fault) {
  Crowds.push_back(std::make_unique<integration::Crowd>(Loop));
  addClients(*Crowds.back(), fault.Kind, Places.Gateways.at(fault.Gateway));
  later(fault.For, [crowd = Crowds.back().get()] { crowd->close(); });
}

void Fleet::watch(History &history) {
  for (const auto &it : Gateways) {
    if (it->IsDown || !it->Running)
      continue;
    if (it->Running->running()) {
      it->PeakKiB =
          std::max(it->PeakKiB, support::peakMemoryKib(it->Running->pid()));
      continue;
    }
    it->IsDown = true;
    history.Ends.push_back({Clock.monotonic(), it->Name,
                            it->Running->waitForExit({}).value_or(0)});
  }
}

void Fleet::stop(History &history) {
  Timers.clear();
  for (const auto &it : Gateways) {
    if (it->Running) {
      it->Running->resume();
      it->Running->terminate();
    }
  }
  for (const auto &it : Gateways) {
    if (it->Running)
      it->Running->waitForExit(StopLimit);
    it->Running.reset();
    history.Memory.push_back({it->Name, it->PeakKiB});
  }
  for (std::size_t n = 0; n < Runners.size(); ++n) {
    Runners[n]->Running.reset();
    const RunnerPlace &place = Places.Runners.at(n);
    const auto steps =
        readSteps(path(place.Id + ".journal"), place.Id, place.Service);
    history.Steps.insert(history.Steps.end(), steps.begin(), steps.end());
  }
  Proxy.reset();
  Store.reset();
}

} // namespace cowslipridge::soak
