// Guards against uncontrolled clients that end or stop a process by using up
// its memory or its descriptors. The tests check no times and no fractions of
// served requests.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller_crowd.h"
#include "gateway_fleet.h"
#include "process_watch.h"

namespace baobabwall::test {
namespace {

// Limits of the process. They are also the bounds of the checks, whether or not
// the settings exist.
constexpr int64_t kMebibyte = 1 << 20;
constexpr int64_t kMemoryLimitMb = 64;
constexpr int kDescriptorLimit = 256;

// AddressSanitizer keeps freed memory and adds a shadow memory, so the size of
// the process says little about its use. The bound of the memory is checked
// only in builds without sanitizers, everything else in both.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kIsMemoryMeaningful = false;
#else
constexpr bool kIsMemoryMeaningful = true;
#endif

constexpr int64_t kMaxBodyBytes = 4 * kMebibyte;
/// All bodies of a crowd of legal size are 4 times the memory limit.
constexpr int kBodyClients = 4 * kMemoryLimitMb * kMebibyte / kMaxBodyBytes;
/// Bodies over the limit are 4 times the largest legal size.
constexpr int64_t kOversizedBodyBytes = 4 * kMaxBodyBytes;
constexpr int kOversizedClients = 32;
/// Less than the length of the accept queue (1024) plus kDescriptorLimit, so
/// that all of them are connected.
constexpr int kConnectionClients = 800;
/// Padding of an incomplete head; a whole head may have 16 KiB.
constexpr int kHeadPadding = 15 * 1024;
/// Requests of one connection whose answers nobody reads.
constexpr int kPipelinedRequests = 16;
/// RLIMIT_NOFILE minus kDescriptorLimit.
constexpr int kDescriptorsBeyondLimit = 16;
/// With fewer servers, most requests are refused because all slots are in use.
constexpr int kServers = 20;
constexpr size_t kChunkBytes = 16 * 1024;
/// A whole request without its last byte; of a chunked body, the last chunk is
/// missing.
constexpr int kMissingBytes = 1;

/// Limits for hangs, far above the time that the steps take.
constexpr absl::Duration kMaxCrowdTime = absl::Seconds(20);
constexpr absl::Duration kMaxWait = absl::Seconds(40);
/// A crowd without progress for this time is as far as it gets.
constexpr absl::Duration kQuietTime = absl::Milliseconds(1500);
/// Descriptors that may be open longer than the crowd, such as idle connections
/// to backend servers.
constexpr int kSpareDescriptors = 32;

using SharedText = std::shared_ptr<const std::string>;

SharedText PlainBody(int64_t size) {
  return std::make_shared<const std::string>(size, 'x');
}

/// \returns chunks with `size` bytes of data in all, without the last chunk,
/// which is empty.
std::string Chunks(int64_t size) {
  std::string text;
  while (size > 0) {
    const int64_t chunk = std::min<int64_t>(size, kChunkBytes);
    absl::StrAppend(&text, absl::Hex(chunk), "\r\n", std::string(chunk, 'x'),
                    "\r\n");
    size -= chunk;
  }
  return text;
}

std::string RequestStart(const std::string& method, const std::string& id) {
  return absl::StrCat(method, " /", method == "GET" ? "read" : "book",
                      "/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ", id,
                      "\r\n");
}

/// Clients that send the same body with a head each.
/// \param framing header line that describes the body.
std::vector<CrowdClient> BodyClients(const std::string& name,
                                     int count,
                                     const std::string& framing,
                                     const SharedText& body) {
  std::vector<CrowdClient> clients;
  for (int i = 0; i < count; ++i) {
    CrowdClient& client = clients.emplace_back();
    client.id = absl::StrCat(name, "-", i);
    client.head =
        absl::StrCat(RequestStart("POST", client.id), framing, "\r\n\r\n");
    client.body = body;
  }
  return clients;
}

std::vector<CrowdClient> LengthClients(const std::string& name,
                                       int count,
                                       int64_t announced,
                                       int64_t sent) {
  return BodyClients(name, count, absl::StrCat("Content-Length: ", announced),
                     PlainBody(sent));
}

std::vector<CrowdClient> ChunkedClients(const std::string& name,
                                        int count,
                                        std::string chunks) {
  return BodyClients(name, count, "Transfer-Encoding: chunked",
                     std::make_shared<const std::string>(std::move(chunks)));
}

std::vector<CrowdClient> SilentClients(int count) {
  return std::vector<CrowdClient>(count);
}

/// Clients that stop within a head of nearly the maximum size.
std::vector<CrowdClient> HeadClients(const std::string& name, int count) {
  std::vector<CrowdClient> clients(count);
  for (int i = 0; i < count; ++i) {
    clients[i].id = absl::StrCat(name, "-", i);
    clients[i].head =
        absl::StrCat(RequestStart("GET", clients[i].id),
                     "X-Padding: ", std::string(kHeadPadding, 'x'));
  }
  return clients;
}

/// Clients that send requests and do not read the answers.
std::vector<CrowdClient> UnreadClients(const std::string& name,
                                       int count,
                                       int pipelined) {
  std::vector<CrowdClient> clients(count);
  for (int i = 0; i < count; ++i) {
    clients[i].id = absl::StrCat(name, "-", i);
    clients[i].reads_answers = false;
    for (int k = 0; k < pipelined; ++k) {
      absl::StrAppend(&clients[i].head,
                      RequestStart("GET", absl::StrCat(clients[i].id, ".", k)),
                      "X-Deadline-Ms: 1500\r\n\r\n");
    }
  }
  return clients;
}

/// One instance with lowered limits and its backend servers.
class Fixture {
 public:
  explicit Fixture(const std::string& name,
                   const ConfigLimits& limits = {kMaxBodyBytes})
      : fleet(absl::StrCat("crowd-", name)) {
    fleet.PutConfig(1, limits);
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(absl::StrCat("i-", i));
      fleet.platform().AddBackend(servers.back(), "s", "a-1",
                                  absl::Milliseconds(5));
    }
    // Otherwise the limits would be left out for another reason.
    REQUIRE(fleet.AcceptsSettings(""));
    fleet.SetExtraSettings(LimitSettings());
  }

  void Start() {
    fleet.Start("one", "a-1");
    REQUIRE(fleet.WaitReady("one"));
    REQUIRE(IsOrdinaryRequestAnswered());
    port = fleet.caller_port("one");
    initial_descriptors =
        ReadProcessUse(fleet.process("one").pid(), port).descriptors;
    watch = std::make_unique<ProcessWatch>(fleet.process("one").pid(), port);
  }

  void SetAnswerSize(size_t size) {
    for (const std::string& server : servers) {
      fleet.platform().SetAnswerSize(server, size);
    }
  }

  void AddCrowd(const std::vector<CrowdClient>& clients) {
    crowds.push_back(std::make_unique<CallerCrowd>(port, clients));
  }

  /// Waits until the crowds and the requests at the servers make no progress.
  void WaitUntilQuiet() {
    int64_t previous = -1;
    absl::Time changed_at = absl::Now();
    WaitFor(
        [&] {
          int64_t progress = 0;
          for (const auto& crowd : crowds) {
            progress += crowd->progress();
          }
          for (const std::string& server : servers) {
            progress += fleet.platform().run_count(server);
          }
          if (progress != previous) {
            previous = progress;
            changed_at = absl::Now();
          }
          return absl::Now() - changed_at > kQuietTime;
        },
        kMaxCrowdTime);
  }

  /// Repeats an ordinary request on new connections until it is answered.
  bool IsOrdinaryRequestAnswered() {
    return WaitFor(
        [&] {
          const std::string id = absl::StrCat("ordinary-", ++last_ordinary);
          return Call(fleet.caller_port("one"), "GET", "/read/x",
                      {absl::StrCat("X-Request-Id: ", id),
                       "X-Deadline-Ms: 2000"})
                     .status == 200;
        },
        kMaxWait);
  }

  bool IsLookupAnswered() {
    return WaitFor(
        [&] {
          return Call(fleet.lookup_port("one"), "GET",
                      "/baobabwall/resolve?name=h.example&region=a&zone=a-1")
                     .status == 200;
        },
        kMaxWait);
  }

  void CheckBounds() {
    const int64_t peak_memory = watch->peak_memory_bytes();
    const int64_t peak_sockets = watch->peak_socket_bytes();
    CAPTURE(peak_memory, peak_sockets);
    CHECK(fleet.process("one").IsRunning());
    if (kIsMemoryMeaningful) {
      CHECK(peak_memory <= kMemoryLimitMb * kMebibyte);
    }
    CHECK(watch->peak_descriptors() <= kDescriptorLimit);
  }

  /// Lets all crowds leave, and checks that their descriptors are closed and
  /// that no refused request has run.
  void StopCrowds() {
    for (const auto& crowd : crowds) {
      crowd->Stop();
    }
    const pid_t pid = fleet.process("one").pid();
    CHECK(WaitFor(
        [&] {
          return ReadProcessUse(pid, port).descriptors <=
                 initial_descriptors + kSpareDescriptors;
        },
        kMaxWait));
    CheckRefusals();
  }

  void CheckRefusals() {
    const std::map<std::string, ExecutedRequest> executed =
        fleet.platform().executed_requests();
    int refused_but_run = 0;
    for (const auto& crowd : crowds) {
      for (const CrowdOutcome& outcome : crowd->outcomes()) {
        const bool is_refused = outcome.status == 408 ||
                                outcome.status == 413 ||
                                outcome.status == 429 ||
                                outcome.status == 431 || outcome.status == 503;
        refused_but_run += is_refused && executed.count(outcome.id) > 0 ? 1 : 0;
      }
    }
    CHECK(refused_but_run == 0);
  }

  /// \returns the number of clients whose request ran.
  int ExecutedCount() {
    const std::map<std::string, ExecutedRequest> executed =
        fleet.platform().executed_requests();
    int count = 0;
    for (const auto& crowd : crowds) {
      for (const CrowdOutcome& outcome : crowd->outcomes()) {
        count += executed.count(outcome.id) > 0 ? 1 : 0;
      }
    }
    return count;
  }

  /// Checks the process while the crowds stay, and after they have left.
  void CheckAll() {
    WaitUntilQuiet();
    CHECK(IsOrdinaryRequestAnswered());
    StopCrowds();
    CHECK(IsOrdinaryRequestAnswered());
    CheckBounds();
    CHECK(fleet.LogFindings().empty());
  }

  GatewayFleet fleet;
  std::vector<std::string> servers;
  int port = 0;
  int initial_descriptors = 0;
  int last_ordinary = 0;
  std::unique_ptr<ProcessWatch> watch;
  std::vector<std::unique_ptr<CallerCrowd>> crowds;

 private:
  /// \returns the limits that the settings of this version know.
  std::string LimitSettings() const {
    std::string settings;
    for (const std::string& line :
         {absl::StrCat("memory_mb = ", kMemoryLimitMb),
          absl::StrCat("max_fds = ", kDescriptorLimit)}) {
      const std::string candidate =
          absl::StrCat(settings.empty() ? "[limits]\n" : settings, line, "\n");
      if (fleet.AcceptsSettings(candidate)) {
        settings = candidate;
      }
    }
    return settings;
  }
};

// Guards against memory that grows with the number of bodies being read, and
// against several copies of a body.
TEST_CASE("many whole bodies with a length") {
  Fixture fixture("whole-length");
  fixture.Start();
  fixture.AddCrowd(
      LengthClients("whole", kBodyClients, kMaxBodyBytes, kMaxBodyBytes));
  fixture.CheckAll();
}

// As above, for bodies whose size is not known in advance.
TEST_CASE("many whole bodies in chunks") {
  Fixture fixture("whole-chunks");
  fixture.Start();
  fixture.AddCrowd(ChunkedClients(
      "whole", kBodyClients, absl::StrCat(Chunks(kMaxBodyBytes), "0\r\n\r\n")));
  fixture.CheckAll();
}

// Guards against bodies that are held as long as the client keeps its
// connection.
TEST_CASE("bodies with a length that stop just short of their end") {
  Fixture fixture("short-length");
  fixture.Start();
  fixture.AddCrowd(LengthClients("short", kBodyClients, kMaxBodyBytes,
                                 kMaxBodyBytes - kMissingBytes));
  fixture.CheckAll();
  CHECK(fixture.ExecutedCount() == 0);
}

// As above, for bodies whose size is not known in advance.
TEST_CASE("bodies in chunks that stop just short of their end") {
  Fixture fixture("short-chunks");
  fixture.Start();
  fixture.AddCrowd(
      ChunkedClients("short", kBodyClients, Chunks(kMaxBodyBytes)));
  fixture.CheckAll();
  CHECK(fixture.ExecutedCount() == 0);
}

// Guards against the memory of clients that left, which adds to that of the
// clients that come later.
TEST_CASE("bodies that stop just short of their end, then some clients leave") {
  Fixture fixture("short-leave");
  fixture.Start();
  fixture.AddCrowd(LengthClients("length", kBodyClients / 2, kMaxBodyBytes,
                                 kMaxBodyBytes - kMissingBytes));
  fixture.AddCrowd(
      ChunkedClients("chunks", kBodyClients / 2, Chunks(kMaxBodyBytes)));
  fixture.WaitUntilQuiet();
  for (const auto& crowd : fixture.crowds) {
    crowd->LetHalfLeave();
  }
  fixture.AddCrowd(LengthClients("later", kBodyClients / 2, kMaxBodyBytes,
                                 kMaxBodyBytes - kMissingBytes));
  fixture.CheckAll();
  CHECK(fixture.ExecutedCount() == 0);
}

// Guards against reading a body that is refused because of its announced
// length.
TEST_CASE("announced bodies over the limit") {
  Fixture fixture("over-announced");
  fixture.Start();
  fixture.AddCrowd(LengthClients("over", kOversizedClients, kOversizedBodyBytes,
                                 kOversizedBodyBytes));
  fixture.CheckAll();
  CHECK(fixture.ExecutedCount() == 0);
}

// Guards against reading on behind the limit, and against many bodies that are
// nearly at the limit.
TEST_CASE("bodies over the limit without announcement") {
  Fixture fixture("over-sent");
  fixture.Start();
  fixture.AddCrowd(
      ChunkedClients("over", kOversizedClients,
                     absl::StrCat(Chunks(kOversizedBodyBytes), "0\r\n\r\n")));
  fixture.CheckAll();
  CHECK(fixture.ExecutedCount() == 0);
}

// Guards against connections that use up the descriptors without a request.
TEST_CASE("very many silent connections") {
  Fixture fixture("silent");
  fixture.Start();
  fixture.AddCrowd(SilentClients(kConnectionClients));
  fixture.CheckAll();
}

// As above, for connections with an incomplete head of nearly the maximum size.
TEST_CASE("very many connections within a head") {
  Fixture fixture("heads");
  fixture.Start();
  fixture.AddCrowd(HeadClients("head", kConnectionClients));
  fixture.CheckAll();
}

// Guards against descriptors of clients that have disconnected before or after
// their connection was accepted.
TEST_CASE("very many connections of which some leave early") {
  Fixture fixture("leave-early");
  fixture.Start();
  fixture.AddCrowd(SilentClients(kConnectionClients / 2));
  fixture.AddCrowd(HeadClients("head", kConnectionClients / 2));
  for (const auto& crowd : fixture.crowds) {
    crowd->LetHalfLeave();
  }
  fixture.CheckAll();
}

// Guards against a process that cannot accept or serve any request while its
// descriptors are used up. The idle timeout is above the time that the test
// waits, so that descriptors become available only if the process closes idle
// connections early.
TEST_CASE("more connections than there are descriptors") {
  ConfigLimits limits;
  limits.idle_timeout_ms = 180'000;
  Fixture fixture("descriptors", limits);
  fixture.fleet.SetDescriptorLimit(kDescriptorLimit + kDescriptorsBeyondLimit);
  fixture.Start();
  fixture.AddCrowd(SilentClients(kConnectionClients));
  fixture.CheckAll();
}

// Guards against answers that are held until the client reads them.
TEST_CASE("answers that nobody reads on kept connections") {
  Fixture fixture("unread-kept");
  fixture.SetAnswerSize(kMaxBodyBytes);
  fixture.Start();
  fixture.AddCrowd(UnreadClients("unread", kBodyClients, 1));
  fixture.CheckAll();
}

// As above, with many answers for each connection.
TEST_CASE("answers that nobody reads on pipelined connections") {
  Fixture fixture("unread-pipelined");
  fixture.SetAnswerSize(kMaxBodyBytes / 4);
  fixture.Start();
  fixture.AddCrowd(UnreadClients(
      "unread", kBodyClients * 4 / kPipelinedRequests, kPipelinedRequests));
  fixture.CheckAll();
}

// Guards against a process that does not react to signals or does not serve its
// other ports while it is at its limits.
TEST_CASE("all crowds at once, with SIGHUP and SIGTERM") {
  Fixture fixture("all");
  fixture.SetAnswerSize(kMaxBodyBytes / 4);
  fixture.Start();
  fixture.AddCrowd(
      LengthClients("whole", kBodyClients / 2, kMaxBodyBytes, kMaxBodyBytes));
  fixture.AddCrowd(
      ChunkedClients("short", kBodyClients / 2, Chunks(kMaxBodyBytes)));
  fixture.AddCrowd(LengthClients("announced", kOversizedClients / 2,
                                 kOversizedBodyBytes, kOversizedBodyBytes));
  fixture.AddCrowd(ChunkedClients("sent", kOversizedClients / 2,
                                  Chunks(kOversizedBodyBytes)));
  fixture.AddCrowd(SilentClients(kConnectionClients / 4));
  fixture.AddCrowd(HeadClients("head", kConnectionClients / 4));
  fixture.AddCrowd(UnreadClients("unread", kBodyClients, 4));
  ChildProcess& process = fixture.fleet.process("one");
  for (int i = 0; i < 5; ++i) {
    process.Signal(SIGHUP);
    CHECK(fixture.IsOrdinaryRequestAnswered());
    CHECK(fixture.IsLookupAnswered());
  }
  CHECK(fixture.fleet.WaitReady("one"));
  fixture.WaitUntilQuiet();
  CHECK(fixture.IsOrdinaryRequestAnswered());
  fixture.CheckBounds();
  CHECK(fixture.fleet.LogFindings().empty());
  process.Signal(SIGTERM);
  CHECK(WaitFor([&] { return !process.IsRunning(); }, kMaxWait));
  CHECK(process.Wait() == 0);
  for (const auto& crowd : fixture.crowds) {
    crowd->Stop();
  }
  fixture.CheckRefusals();
}

}  // namespace
}  // namespace baobabwall::test
