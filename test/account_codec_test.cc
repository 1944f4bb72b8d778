#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/platform.h"

namespace baobabwall::platform {
namespace {

using gateway::ApiKey;
using gateway::Credentials;
using nlohmann::json;

/// \returns nullptr if the configuration is unusable.
std::shared_ptr<const gateway::RoutingConfig> DecodeTenants(
    const json& tenants) {
  const json config = {{"version", 3},
                       {"services", json::array()},
                       {"virtual_hosts",
                        {{{"host", "h"},
                          {"paths",
                           {{{"name", "r"},
                             {"prefix", "/"},
                             {"route_type", "upload"},
                             {"timeout_ms", 100},
                             {"public", true},
                             {"service", "s"}}}}}}},
                       {"tenants", tenants}};
  control::StoreKeyValue item;
  item.key = "op/config";
  item.value = config.dump();
  const auto change = DecodeStateChange(item);
  return change ? std::get<gateway::ConfigWritten>(*change).config : nullptr;
}

edge::http::fields Authorization(const std::vector<std::string>& values) {
  edge::http::fields headers;
  for (const std::string& value : values) {
    headers.insert("aUTHORIZATION", value);
  }
  return headers;
}

Credentials::State StateOf(const std::vector<std::string>& values) {
  return ReadCredentials(Authorization(values)).state;
}

// Guards against malformed credentials that are taken for a key, and against a
// valid key that is rejected because of the case of a name.
TEST_CASE("only one bearer token within the limits is a key") {
  using State = Credentials::State;
  CHECK(StateOf({}) == State::kAbsent);
  CHECK(StateOf({"Bearer key-1"}) == State::kPresent);
  CHECK(StateOf({"bEARER key-1"}) == State::kPresent);
  CHECK(StateOf({absl::StrCat("Bearer ", std::string(256, 'k'))}) ==
        State::kPresent);
  CHECK(StateOf({absl::StrCat("Bearer ", std::string(257, 'k'))}) ==
        State::kMalformed);
  for (const char* const value :
       {"", "Bearer", "Bearer ", "Bearer    ", "Basic key-1", "key-1",
        "Bearerkey-1", "Bearer key 1", "Bearer k\x01y", "Bearer k\ty",
        "Bearer k\x7fy", "Bearer k\xc3\xa9y"}) {
    CHECK(StateOf({value}) == State::kMalformed);
  }
  CHECK(StateOf({"Bearer key-1", "Bearer key-1"}) == State::kMalformed);
  CHECK(StateOf({"Bearer key-1", "Basic x"}) == State::kMalformed);
  edge::http::fields mixed_case;
  mixed_case.insert("Authorization", "Bearer key-1");
  mixed_case.insert("authorization", "Bearer key-1");
  CHECK(ReadCredentials(mixed_case).state == State::kMalformed);
}

// Guards against fields that are misread, for example a quota of 0 that refuses
// all requests of an account without a quota.
TEST_CASE("client accounts are decoded with the defaults of missing fields") {
  const auto config = DecodeTenants({{{"name", "full"},
                                      {"api_keys", {"k-1", "k-2"}},
                                      {"priority", 0},
                                      {"rate_per_s", 2.5},
                                      {"burst", 4},
                                      {"allowed_regions", {"amba", "cuyo"}}},
                                     {{"name", "plain"}, {"api_keys", {"k-3"}}},
                                     {{"name", "zero"},
                                      {"api_keys", {"k-4"}},
                                      {"rate_per_s", 0},
                                      {"burst", 7},
                                      {"allowed_regions", json::array()}},
                                     {{"name", "without keys"}}});
  REQUIRE(config != nullptr);
  CHECK(config->has_accounts());
  CHECK(config->accounts().size() == 4);
  const auto full = config->FindAccount(ApiKey("k-2"));
  REQUIRE(full != nullptr);
  CHECK(full == config->FindAccount(ApiKey("k-1")));
  CHECK(full->name == "full");
  CHECK(full->priority == 0);
  REQUIRE(full->quota);
  CHECK(full->quota->rate_per_s == 2.5);
  CHECK(full->quota->burst == 4);
  CHECK(full->allowed_regions == std::vector<std::string>{"amba", "cuyo"});
  const auto plain = config->FindAccount(ApiKey("k-3"));
  REQUIRE(plain != nullptr);
  CHECK_FALSE(plain->priority);
  CHECK_FALSE(plain->quota);
  CHECK(plain->allowed_regions.empty());
  const auto zero = config->FindAccount(ApiKey("k-4"));
  REQUIRE(zero != nullptr);
  CHECK_FALSE(zero->quota);
  CHECK(config->FindAccount(ApiKey("")) == nullptr);
  const gateway::Route* route = config->FindRoute("h", "/x");
  REQUIRE(route != nullptr);
  CHECK(route->is_public);
  CHECK_FALSE(route->is_idempotent);
}

// Guards against a deployment without accounts that suddenly requires keys, and
// against a header injected by the name of an account.
TEST_CASE("accounts are only in use if the configuration is valid") {
  const auto empty = DecodeTenants(json::array());
  REQUIRE(empty != nullptr);
  CHECK_FALSE(empty->has_accounts());
  for (const std::string& name :
       {std::string(), std::string("a\r\nX-Other: 1"), std::string(201, 'n')}) {
    CHECK(DecodeTenants({{{"name", name}, {"api_keys", {"k"}}}}) == nullptr);
  }
  CHECK(DecodeTenants({{{"api_keys", {"k"}}}}) == nullptr);
  CHECK(DecodeTenants({{{"name", "a"}, {"api_keys", {5}}}}) == nullptr);
  CHECK(DecodeTenants({{{"name", "a"}, {"allowed_regions", "amba"}}}) ==
        nullptr);
  CHECK(DecodeTenants("text") == nullptr);
}

edge::HttpRequest RequestWithAccountHeaders() {
  edge::HttpRequest request(edge::http::verb::get, "/a/x", 11);
  request.set("Host", "h.example");
  request.insert("authorization", "Bearer secret-1");
  request.insert("AUTHORIZATION", "Bearer secret-2");
  request.insert("x-tenant", "forged-1");
  request.insert("X-TENANT", "forged-2");
  request.set("X-Other", "stays");
  return request;
}

edge::HttpRequest Forward(const edge::HttpRequest& request,
                          const gateway::CallerIdentity& identity) {
  return ForwardRequest(request, {"i-1", absl::Seconds(1), identity});
}

// Guards against a key, or an account that the caller made up, that reaches a
// backend server: repeated, in another case, or added from a trailer (which the
// parser stores like a further header).
TEST_CASE("a server sees the account's name, and no key") {
  const auto forwarded =
      Forward(RequestWithAccountHeaders(), {true, "account-1"});
  CHECK(forwarded.count("Authorization") == 0);
  CHECK(forwarded.count("X-Tenant") == 1);
  CHECK(forwarded["X-Tenant"] == "account-1");
  CHECK(forwarded["X-Other"] == "stays");
  // The second attempt is made from the same request.
  const edge::HttpRequest request = RequestWithAccountHeaders();
  Forward(request, {true, "account-1"});
  CHECK(Forward(request, {true, "account-1"}).count("X-Tenant") == 1);
  // The caller asks for the removal of the header as a hop-by-hop header.
  edge::HttpRequest hop = RequestWithAccountHeaders();
  hop.set("Connection", "X-Tenant, Authorization");
  CHECK(Forward(hop, {true, "account-1"})["X-Tenant"] == "account-1");
}

// Guards against a forged account on a public route.
TEST_CASE("a request without an account is forwarded without its header") {
  const auto forwarded = Forward(RequestWithAccountHeaders(), {true, ""});
  CHECK(forwarded.count("Authorization") == 0);
  CHECK(forwarded.count("X-Tenant") == 0);
}

// Guards against changed requests in a deployment that does not use accounts.
TEST_CASE("without accounts the headers pass as they are") {
  const auto forwarded = Forward(RequestWithAccountHeaders(), {});
  CHECK(forwarded.count("Authorization") == 2);
  CHECK(forwarded.count("X-Tenant") == 2);
}

}  // namespace
}  // namespace baobabwall::platform
