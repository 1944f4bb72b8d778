#include "gateway/src/authorization.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

template <typename T, typename = void>
struct IsStreamable : std::false_type {};
template <typename T>
struct IsStreamable<T,
                    std::void_t<decltype(std::declval<std::ostream&>()
                                         << std::declval<const T&>())>>
    : std::true_type {};

std::shared_ptr<ClientAccount> MakeAccount(
    const std::string& name,
    std::vector<std::string> allowed_regions = {}) {
  auto account = std::make_shared<ClientAccount>();
  account->name = name;
  account->allowed_regions = std::move(allowed_regions);
  return account;
}

std::shared_ptr<RoutingConfig> MakeConfig() {
  RoutingConfig::Builder builder;
  const std::vector<std::string> keys_of_one = {"key-1", "key-1b"};
  const std::vector<std::string> keys_of_two = {"key-2"};
  builder.Version(1)
      .AddAccount(MakeAccount("one", {"a", "b"}), keys_of_one)
      .AddAccount(MakeAccount("two"), keys_of_two);
  return builder.Build();
}

Credentials Key(absl::string_view text) {
  return {Credentials::State::kPresent, ApiKey(text)};
}

const Credentials kAbsent = {};
const Credentials kMalformed = {Credentials::State::kMalformed, {}};

// Guards against a request without a known key that runs, and against a status
// after which callers do not retry although the key may be newer than the
// configuration.
TEST_CASE("the status depends on the credentials and the freshness") {
  struct Case {
    Credentials credentials;
    ConfigFreshness freshness;
    std::string refusal;
    int status;
    std::string account;
  };
  const ConfigFreshness current = ConfigFreshness::kCurrent;
  const ConfigFreshness outdated = ConfigFreshness::kMayBeOutdated;
  const std::vector<Case> cases = {
      {kAbsent, current, "no-key", 401, ""},
      {kAbsent, outdated, "no-key", 401, ""},
      {kMalformed, current, "malformed-key", 401, ""},
      {kMalformed, outdated, "malformed-key", 401, ""},
      {Key("other"), current, "unknown-key", 401, ""},
      {Key("other"), outdated, "unknown-key", 503, ""},
      {Key("KEY-1"), current, "unknown-key", 401, ""},
      {Key("key-1"), current, "", 0, "one"},
      {Key("key-1b"), outdated, "", 0, "one"},
      {Key("key-2"), outdated, "", 0, "two"}};
  const auto config = MakeConfig();
  for (const Case& c : cases) {
    const Authorization authorization =
        Authorize(*config, Route{}, c.credentials, c.freshness);
    CHECK(authorization.refusal == c.refusal);
    CHECK(authorization.status == c.status);
    CHECK(authorization.is_granted() == c.refusal.empty());
    CHECK((authorization.account ? authorization.account->name : "") ==
          c.account);
  }
}

// Guards against a public route that refuses callers, or that ignores the
// account of a caller with a known key.
TEST_CASE("a public route needs no key, but uses the account of a known one") {
  const auto config = MakeConfig();
  Route route;
  route.is_public = true;
  for (const ConfigFreshness freshness :
       {ConfigFreshness::kCurrent, ConfigFreshness::kMayBeOutdated}) {
    for (const Credentials& credentials : {kAbsent, kMalformed, Key("other")}) {
      const Authorization authorization =
          Authorize(*config, route, credentials, freshness);
      CHECK(authorization.is_granted());
      CHECK(authorization.account == nullptr);
    }
    const Authorization known =
        Authorize(*config, route, Key("key-2"), freshness);
    CHECK(known.is_granted());
    REQUIRE(known.account != nullptr);
    CHECK(known.account->name == "two");
  }
}

// Guards against refusals in a deployment that does not use accounts.
TEST_CASE("without accounts in the configuration each request is granted") {
  const RoutingConfig config;
  for (const Credentials& credentials : {kAbsent, kMalformed, Key("other")}) {
    const Authorization authorization = Authorize(
        config, Route{}, credentials, ConfigFreshness::kMayBeOutdated);
    CHECK(authorization.is_granted());
    CHECK(authorization.account == nullptr);
  }
}

// Guards against a request that runs in a region that the route or the account
// does not allow, above all if they have no region in common: an empty list of
// one of them allows all regions.
TEST_CASE("a request may run where both the route and the account allow it") {
  struct Case {
    std::vector<std::string> of_route;
    std::vector<std::string> of_account;
    bool is_restricted;
    std::vector<std::string> regions;
  };
  const std::vector<Case> cases = {
      {{}, {}, false, {}},
      {{"a"}, {}, true, {"a"}},
      {{}, {"b"}, true, {"b"}},
      {{"a", "b", "c"}, {"c", "b"}, true, {"b", "c"}},
      {{"a"}, {"b"}, true, {}}};
  for (const Case& c : cases) {
    Route route;
    route.allowed_regions = c.of_route;
    const auto account = MakeAccount("one", c.of_account);
    const AllowedRegions allowed = IntersectRegions(route, account.get());
    CHECK(allowed.is_restricted == c.is_restricted);
    CHECK(allowed.regions == c.regions);
    CHECK(IntersectRegions(route, nullptr).regions == c.of_route);
  }
}

// Guards against a type change that would let a key reach a log line.
TEST_CASE("a key has no stream operator") {
  CHECK_FALSE(IsStreamable<ApiKey>::value);
  CHECK_FALSE(IsStreamable<Credentials>::value);
  CHECK(IsStreamable<std::string>::value);
}

// Guards against a copy of each account for each version of the configuration,
// and against a shared account that misses a change.
TEST_CASE("only changed accounts are copied between two versions") {
  const auto first = MakeConfig();
  RoutingConfig::Builder builder;
  const std::vector<std::string> keys_of_one = {"key-1c"};
  const std::vector<std::string> keys_of_two = {"key-2"};
  builder.Version(2)
      .AddAccount(MakeAccount("one", {"a", "b"}), keys_of_one)
      .AddAccount(MakeAccount("two", {"b"}), keys_of_two);
  const auto second = builder.Build();
  second->ShareAccounts(*first);
  CHECK(second->accounts()[0] == first->accounts()[0]);
  CHECK(second->FindAccount(ApiKey("key-1c")) == first->accounts()[0]);
  CHECK(second->FindAccount(ApiKey("key-1")) == nullptr);
  CHECK(second->accounts()[1] != first->accounts()[1]);
  CHECK(second->FindAccount(ApiKey("key-2")) == second->accounts()[1]);
  CHECK(second->accounts()[1]->allowed_regions ==
        std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace baobabwall::gateway
