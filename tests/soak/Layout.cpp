#include "soak/Layout.hpp"

#include "support/Loopback.hpp"

#include <boost/asio/ip/address.hpp>

namespace cowslipridge::soak {

namespace {

http1::Endpoint ownEndpoint() {
  return {boost::asio::ip::make_address(support::loopbackAddress()),
          support::nextPort()};
}

std::size_t addLink(Layout &layout, const std::string &name,
                    const std::string &owner, const http1::Endpoint &target) {
  layout.Links.push_back({name, owner, ownEndpoint(), target});
  return layout.Links.size() - 1;
}

void addRunner(Layout &layout, const std::string &service, bool streams) {
  RunnerPlace place;
  place.Id = service + "-" + std::to_string(layout.Runners.size() + 1);
  place.Service = service;
  place.Streams = streams;
  place.Listen = ownEndpoint();
  place.Control = ownEndpoint();
  place.Link = addLink(layout, "gateways>" + place.Id, place.Id, place.Listen);
  layout.Runners.push_back(place);
}

void addGateway(Layout &layout) {
  GatewayPlace place;
  place.Name = "gateway-" + std::to_string(layout.Gateways.size() + 1);
  place.Callers = ownEndpoint();
  place.Readiness = ownEndpoint();
  place.Metrics = ownEndpoint();
  place.Peers = ownEndpoint();
  place.CallersLink =
      addLink(layout, "callers>" + place.Name, place.Name, place.Callers);
  place.StoreLink =
      addLink(layout, place.Name + ">store", place.Name, layout.Store);
  layout.Gateways.push_back(place);
}

} // namespace

Layout makeLayout(const LayoutSizes &sizes) {
  Layout layout;
  layout.MaxAttempts = sizes.MaxAttempts;
  layout.Store = ownEndpoint();
  layout.StoreControl = ownEndpoint();
  layout.ProxyControl = ownEndpoint();
  for (std::size_t n = 0; n < sizes.ModelRunners; ++n)
    addRunner(layout, "llm", true);
  for (std::size_t n = 0; n < sizes.PlainRunners; ++n)
    addRunner(layout, "desk", false);
  for (std::size_t n = 0; n < sizes.Gateways; ++n)
    addGateway(layout);
  return layout;
}

std::string text(const http1::Endpoint &endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

http1::Endpoint parseEndpoint(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  return {boost::asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace cowslipridge::soak
