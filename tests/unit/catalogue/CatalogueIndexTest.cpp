#include "cowslipridge/catalogue/CatalogueIndex.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::catalogue;

namespace {

Route routeAt(const std::string &host, const std::string &prefix) {
  Route route;
  route.Name = host + prefix;
  route.Host = host;
  route.PathPrefix = prefix;
  return route;
}

TEST(CatalogueIndexTest, selectsTheLongestMatchingPrefixOfTheHost) {
  Catalogue catalogue;
  catalogue.Routes = {routeAt("a.example", "/x/"),
                      routeAt("a.example", "/x/y/"), routeAt("b.example", "/")};
  const CatalogueIndex index(catalogue);
  EXPECT_EQ(index.route("a.example", "/x/y/z")->PathPrefix, "/x/y/");
  EXPECT_EQ(index.route("A.Example:80", "/x/q")->PathPrefix, "/x/");
  EXPECT_EQ(index.route("b.example", "/anything")->PathPrefix, "/");
  EXPECT_EQ(index.route("a.example", "/x"), nullptr);
  EXPECT_EQ(index.route("c.example", "/x/"), nullptr);
}

TEST(CatalogueIndexTest, findsTheOrganisationOfAKey) {
  Catalogue catalogue;
  catalogue.Organisations = {
      {core::OrganisationId("one"), {"k1", "k2"}, std::nullopt},
      {core::OrganisationId("two"), {"k3"}, 1}};
  const CatalogueIndex index(catalogue);
  EXPECT_EQ(index.findOrganisation("k2")->Name.str(), "one");
  EXPECT_EQ(index.findOrganisation("k3")->Name.str(), "two");
  EXPECT_EQ(index.findOrganisation("k4"), nullptr);
}

TEST(CatalogueIndexTest, countsAddedAndRemovedKeys) {
  Catalogue before;
  before.Organisations = {
      {core::OrganisationId("one"), {"k1", "k2"}, std::nullopt}};
  Catalogue after;
  after.Organisations = {
      {core::OrganisationId("one"), {"k2"}, std::nullopt},
      {core::OrganisationId("two"), {"k3", "k4"}, std::nullopt}};
  EXPECT_EQ(compareKeys(before, after), (KeyChanges{3, 2, 1}));
  EXPECT_EQ(compareKeys(Catalogue(), Catalogue()), KeyChanges());
}

} // namespace
