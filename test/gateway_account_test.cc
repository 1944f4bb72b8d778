#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "gateway_fleet.h"
#include "loopback_proxy.h"

namespace baobabwall::test {
namespace {

/// All keys contain this text, so that a search finds each of them.
constexpr char kKeyMark[] = "Zq7secret";

std::string KeyOf(const std::string& account) {
  return absl::StrCat(kKeyMark, "-", account);
}

std::string AuthorizationLine(const std::string& key) {
  return absl::StrCat("Authorization: Bearer ", key, "\r\n");
}

/// \returns the client accounts of a configuration. Account "small" has a
/// quota, "in-b" may only use region "b".
/// \param extra_account name of a further account; empty for none.
std::string Accounts(const std::string& extra_account = "") {
  const auto account = [](const std::string& name, const std::string& fields) {
    return absl::StrCat(R"({"name":")", name, R"(","api_keys":[")", KeyOf(name),
                        R"("])", fields, "}");
  };
  std::string accounts =
      absl::StrCat("[", account("plain", ""), ",",
                   account("small", R"(,"rate_per_s":1,"burst":2)"), ",",
                   account("in-b", R"(,"allowed_regions":["b"])"));
  if (!extra_account.empty()) {
    absl::StrAppend(&accounts, ",", account(extra_account, ""));
  }
  return absl::StrCat(accounts, "]");
}

/// \brief A caller whose connection stays open between requests.
class PersistentCaller {
 public:
  explicit PersistentCaller(int port) : socket_(io_) {
    socket_.connect({edge::asio::ip::make_address("127.0.0.1"),
                     static_cast<uint16_t>(port)});
  }

  /// \param headers complete header lines with line ends.
  CallerAnswer Get(const std::string& target, const std::string& headers) {
    return Send(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: h.example\r\n",
                             "X-Request-Id: ", NextId(), "\r\n", headers,
                             "\r\n"));
  }

  /// \returns an answer with the status 0 if none arrives within 8 s.
  CallerAnswer Send(const std::string& request) {
    edge::HttpResponse answer;
    bool is_answered = false;
    edge::asio::async_write(socket_, edge::asio::buffer(request),
                            [&](boost::system::error_code error, size_t) {
                              if (error) {
                                return;
                              }
                              edge::http::async_read(
                                  socket_, buffer_, answer,
                                  [&](boost::system::error_code read_error,
                                      size_t) { is_answered = !read_error; });
                            });
    io_.restart();
    io_.run_for(std::chrono::seconds(8));
    CallerAnswer result;
    if (!is_answered) {
      socket_.close();
      io_.run();
      return result;
    }
    result.status = answer.result_int();
    result.body = answer.body();
    double seconds = 0;
    if (absl::SimpleAtod(std::string(answer["Retry-After"]), &seconds)) {
      result.retry_after = absl::Seconds(seconds);
    }
    return result;
  }

  std::string NextId() { return last_id = absl::StrCat("id-", ++id_count); }

  std::string last_id;

 private:
  static inline int id_count = 0;  ///< Ids are unique among all callers.

  edge::asio::io_context io_;
  edge::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

CallerAnswer CallWithKey(int port, const std::string& key) {
  return Call(
      port, "GET", "/read/x",
      {"X-Request-Id: id-key", absl::StrCat("Authorization: Bearer ", key)});
}

/// Two instances in one region and two backend servers in region "a".
class Fixture {
 public:
  explicit Fixture(const std::string& name) : fleet(name) {
    fleet.SetAccounts(Accounts("gone"));
    fleet.PutConfig(1);
    fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(10));
    fleet.platform().AddBackend("i-2", "s", "a-2", absl::Milliseconds(10));
    fleet.Start("one", "a-1");
    REQUIRE(fleet.WaitReady("one"));
  }

  void StartSecond() {
    fleet.Start("two", "a-2");
    REQUIRE(fleet.WaitReady("two"));
  }

  int port() const { return fleet.caller_port("one"); }

  /// \returns the arrivals of a request at the backend servers.
  std::vector<BackendArrival> Arrivals(const std::string& id) const {
    std::vector<BackendArrival> found;
    for (const BackendArrival& arrival : fleet.platform().arrivals()) {
      if (arrival.id == id) {
        found.push_back(arrival);
      }
    }
    return found;
  }

  /// Checks that the outputs of the processes and what the servers received
  /// contain no key.
  void CheckNoKeyLeaves(const std::vector<std::string>& instances) const {
    for (const std::string& instance : instances) {
      CHECK_FALSE(absl::StrContains(fleet.Log(instance), kKeyMark));
      CHECK_FALSE(absl::StrContains(
          Call(fleet.metrics_port(instance), "GET", "/metrics").body,
          kKeyMark));
    }
    for (const BackendArrival& arrival : fleet.platform().arrivals()) {
      CHECK(arrival.credential_count == 0);
    }
    CHECK_THAT(fleet.LogFindings(), Catch::Equals(std::vector<std::string>()));
  }

  mutable GatewayFleet fleet;
};

// Guards against a caller that must connect again after a refusal, against a
// request that runs without a known key, and against outputs with a key.
TEST_CASE("keys are accepted and refused on one connection") {
  Fixture fixture("keys");
  PersistentCaller caller(fixture.port());
  const std::string known = AuthorizationLine(KeyOf("plain"));
  const std::vector<std::pair<std::string, int>> cases = {
      {known, 200},
      {"", 401},
      {AuthorizationLine(absl::StrCat(kKeyMark, "-other")), 401},
      {known, 200},
      {known + known, 401},
      {absl::StrCat("Authorization: Basic ", KeyOf("plain"), "\r\n"), 401},
      {AuthorizationLine(absl::StrCat(KeyOf("plain"), std::string(300, 'k'))),
       401},
      {absl::StrCat("aUTHORIZATION: bEARER ", KeyOf("plain"), "\r\n"), 200}};
  for (const auto& [headers, status] : cases) {
    INFO(headers);
    CHECK(caller.Get("/read/x", headers).status == status);
    CHECK(fixture.Arrivals(caller.last_id).size() == (status == 200 ? 1 : 0));
  }
  // A request with a body that is refused leaves the connection usable.
  CHECK(caller
            .Send(absl::StrCat("POST /book/x HTTP/1.1\r\nHost: h.example\r\n"
                               "X-Request-Id: ",
                               caller.NextId(),
                               "\r\nContent-Length: 5\r\n\r\nhello"))
            .status == 401);
  CHECK(caller.Get("/read/x", known).status == 200);
  CHECK(WaitFor([&] {
    const std::string log = fixture.fleet.Log("one");
    return absl::StrContains(log, "reason=no-key") &&
           absl::StrContains(log, "reason=unknown-key") &&
           absl::StrContains(log, "reason=malformed-key") &&
           absl::StrContains(log, " account=plain ");
  }));
  CHECK(absl::StrContains(
      Call(fixture.fleet.metrics_port("one"), "GET", "/metrics").body,
      "baobabwall_account_requests_total{account=\"plain\","
      "reason=\"answered\"} "));
  fixture.CheckNoKeyLeaves({"one"});
}

// Guards against a key or a forged account that reaches a server: with the
// first attempt, with a retry, or with the trailer of a chunked body.
TEST_CASE("a server sees exactly one account and no key") {
  Fixture fixture("forward");
  PersistentCaller caller(fixture.port());
  const std::string known = AuthorizationLine(KeyOf("plain"));
  const std::string forged = "x-tenant: forged\r\nX-TENANT: forged-2\r\n";
  const std::string chunked = absl::StrCat(
      "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ",
      caller.NextId(), "\r\n", forged, known,
      "Transfer-Encoding: chunked\r\nTrailer: X-Tenant, Authorization\r\n\r\n"
      "5\r\nhello\r\n0\r\nX-Tenant: forged-3\r\n",
      AuthorizationLine(absl::StrCat(kKeyMark, "-trailer")), "\r\n");
  CHECK(caller.Send(chunked).status == 200);
  const auto check_arrivals = [&](size_t count) {
    const auto arrivals = fixture.Arrivals(caller.last_id);
    CHECK(arrivals.size() == count);
    for (const BackendArrival& arrival : arrivals) {
      CHECK(arrival.accounts == std::vector<std::string>{"plain"});
      CHECK(arrival.credential_count == 0);
    }
  };
  check_arrivals(1);
  CHECK(fixture.fleet.platform().executed_requests().at(caller.last_id).body ==
        "hello");
  // Each server refuses in turn, so that some request needs a second attempt.
  bool was_retried = false;
  for (const char* full : {"i-1", "i-2"}) {
    fixture.fleet.platform().SetFull(full, true);
    for (int i = 0; i < 20; ++i) {
      CHECK(caller.Get("/read/x", forged + known).status == 200);
      const size_t count = fixture.Arrivals(caller.last_id).size();
      was_retried = was_retried || count == 2;
      check_arrivals(count);
    }
    fixture.fleet.platform().SetFull(full, false);
  }
  CHECK(was_retried);
  fixture.CheckNoKeyLeaves({"one"});
}

// Guards against a public route that needs a key, and against a forged account
// there.
TEST_CASE("a public route accepts all callers and names only known accounts") {
  Fixture fixture("public");
  PersistentCaller caller(fixture.port());
  const std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
      {"X-Tenant: plain\r\n", {}},
      {AuthorizationLine("unknown") + "X-Tenant: plain\r\n", {}},
      {AuthorizationLine(KeyOf("plain")), {"plain"}}};
  for (const auto& [headers, accounts] : cases) {
    CHECK(caller.Get("/open/x", headers).status == 200);
    const auto arrivals = fixture.Arrivals(caller.last_id);
    REQUIRE(arrivals.size() == 1);
    CHECK(arrivals[0].accounts == accounts);
    CHECK(arrivals[0].credential_count == 0);
  }
}

// Guards against a withdrawn key that stays in use at an instance that the
// store does not serve, and against 401 for a new key before it is known there.
TEST_CASE("a change of the keys reaches an instance that lost the store") {
  Fixture fixture("withdrawn");
  LoopbackProxy store_of_second(fixture.fleet.platform().store_port());
  fixture.fleet.SetStorePort(store_of_second.port());
  fixture.StartSecond();
  const int second = fixture.fleet.caller_port("two");
  CHECK(CallWithKey(second, KeyOf("gone")).status == 200);
  store_of_second.SetMode(ProxyMode::kSilent);
  store_of_second.Reset();
  REQUIRE(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("two"),
                             "store: read from source=one");
  }));
  fixture.fleet.SetAccounts(Accounts("new"));
  fixture.fleet.PutConfig(2);
  CHECK(WaitFor(
      [&] {
        return CallWithKey(second, KeyOf("gone")).status == 401 &&
               CallWithKey(second, KeyOf("new")).status == 200;
      },
      absl::Seconds(3)));
  fixture.CheckNoKeyLeaves({"one", "two"});
}

// Guards against 401 for a key that may be newer than the configuration, and
// against known keys that are refused while the store is lost.
TEST_CASE("an unknown key is answered with 503 while the store is lost") {
  Fixture fixture("lost");
  fixture.fleet.platform().SetStoreMode(StoreMode::kRefusing);
  CHECK(WaitFor([&] {
    return CallWithKey(fixture.port(), KeyOf("other")).status == 503;
  }));
  CHECK(CallWithKey(fixture.port(), KeyOf("other")).retry_after >
        absl::ZeroDuration());
  CHECK(CallWithKey(fixture.port(), KeyOf("plain")).status == 200);
  CHECK(Call(fixture.port(), "GET", "/read/x").status == 401);
  fixture.fleet.platform().SetStoreMode(StoreMode::kUp);
  CHECK(WaitFor([&] {
    return CallWithKey(fixture.port(), KeyOf("other")).status == 401;
  }));
  fixture.CheckNoKeyLeaves({"one"});
}

// Guards against 401 from an instance that has never had a configuration.
TEST_CASE("without a configuration any credentials are answered with 503") {
  GatewayFleet fleet("no-config");
  fleet.Start("one", "a-1");
  const int port = fleet.caller_port("one");
  REQUIRE(WaitFor([&] { return Call(port, "GET", "/read/x").status != 0; }));
  for (const char* const header :
       {"X-Other: 1", "Authorization: Bearer key", "Authorization: Basic x"}) {
    const CallerAnswer answer = Call(port, "GET", "/read/x", {header});
    CHECK(answer.status == 503);
    CHECK(answer.retry_after > absl::ZeroDuration());
  }
}

// Guards against an account that exceeds its quota, and against a refused
// request that runs.
TEST_CASE("requests beyond the quota get 429 and do not run") {
  Fixture fixture("quota");
  PersistentCaller caller(fixture.port());
  const std::string small = AuthorizationLine(KeyOf("small"));
  std::vector<std::string> admitted;
  std::vector<std::string> refused;
  for (int i = 0; i < 100; ++i) {
    const CallerAnswer answer = caller.Get("/read/x", small);
    if (answer.status == 429) {
      CHECK(answer.retry_after > absl::ZeroDuration());
      refused.push_back(caller.last_id);
    } else {
      CHECK(answer.status == 200);
      admitted.push_back(caller.last_id);
    }
  }
  // (rate x 5 s + burst) x 1.1 + 20 = 27.7 in each window; 100 requests end
  // within one window.
  CHECK(admitted.size() <= 27);
  CHECK_FALSE(refused.empty());
  for (const std::string& id : refused) {
    CHECK(fixture.Arrivals(id).empty());
  }
  CHECK(caller.Get("/read/x", AuthorizationLine(KeyOf("plain"))).status == 200);
  CHECK(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("one"), "reason=quota");
  }));
  CHECK(absl::StrContains(
      Call(fixture.fleet.metrics_port("one"), "GET", "/metrics").body,
      "baobabwall_account_requests_total{account=\"small\","
      "reason=\"quota\"} "));
  fixture.CheckNoKeyLeaves({"one"});
}

// Guards against a request that runs in a region that its account does not
// allow.
TEST_CASE("without a server in the account's regions a request is refused") {
  Fixture fixture("regions");
  PersistentCaller caller(fixture.port());
  const std::string in_b = AuthorizationLine(KeyOf("in-b"));
  const CallerAnswer answer = caller.Get("/read/x", in_b);
  CHECK(answer.status == 503);
  CHECK(answer.retry_after > absl::ZeroDuration());
  CHECK(fixture.Arrivals(caller.last_id).empty());
  fixture.fleet.platform().AddBackend("i-3", "s", "b-1",
                                      absl::Milliseconds(10));
  CHECK(WaitFor([&] { return caller.Get("/read/x", in_b).status == 200; }));
  CHECK(fixture.Arrivals(caller.last_id).at(0).server == "i-3");
}

}  // namespace
}  // namespace baobabwall::test
