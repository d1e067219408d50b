#pragma once

#include "cowslipridge/gateway/Dispatcher.hpp"

#include "support/ModelCatalogue.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace cowslipridge::gateway {

/// A dispatcher with twelve runners, and requests for it.
class DispatcherTest : public testing::Test {
protected:
  DispatcherTest() : RequestDispatcher(settings()) {
    RequestDispatcher.setCatalogue(Declared);
    for (int n = 0; n < 12; ++n)
      add(RequestDispatcher, "runner-" + std::to_string(n));
  }

  static config::GatewaySettings settings() {
    config::GatewaySettings settings;
    settings.Instance = core::InstanceId("gateway-1");
    settings.Retries = {1, 1'000, core::Millis(10'000)};
    return settings;
  }
  static void add(Dispatcher &dispatcher, const std::string &id,
                  const std::string &version = "v1") {
    membership::BackendServer server;
    server.Id = core::RunnerId(id);
    server.Service = support::ModelService;
    server.Host = "127.0.0.1";
    server.Port = 80;
    server.Version = core::VersionId(version);
    dispatcher.servers().put(server);
  }
  RequestContext request(std::uint64_t part, std::uint64_t tokens,
                         const std::string &session = "") {
    RequestContext context;
    context.Caller.Id = core::RequestId("id-" + std::to_string(++Ids));
    context.Caller.AnyModel = true;
    context.Caller.Prompt = {{part, tokens}, {1'000'000 + Ids, 500}};
    context.Caller.PromptTokens = tokens + 500;
    context.Caller.Session = core::SessionId(session);
    context.Catalogue = Declared;
    context.Route = &Declared->catalogue().Routes.front();
    context.ArrivedAt = Now;
    context.Deadline = Now + core::Millis(12'000);
    return context;
  }
  std::optional<Placement> place(Dispatcher &dispatcher,
                                 const RequestContext &context,
                                 ModelTier tier = 0) {
    const auto result =
        dispatcher.place(context, tier, {}, AttemptKind::First, Now);
    const auto *it = std::get_if<Placement>(&result);
    return it == nullptr ? std::nullopt : std::optional(*it);
  }
  void serve(Dispatcher &dispatcher, const Placement &placement) {
    dispatcher.onHead(placement.Ticket, {}, Now);
    dispatcher.onEnded(placement.Ticket, AttemptOutcome::Served, Now);
  }

  catalogue::CataloguePtr Declared = support::modelCatalogue();
  Dispatcher RequestDispatcher;
  std::uint64_t Ids = 0;
  core::Millis Now{1'000};
};

} // namespace cowslipridge::gateway
