#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "edge/edge.h"

namespace baobabwall::edge {
namespace {

constexpr char kHead[] = "I20261204 10:47:36.123456 12 loop.cc:9] ";

/// A pipe whose reader the test plays.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }

  int input() const { return ends_[1]; }

  /// \returns what was written, up to a line that contains the text.
  std::string ReadUntil(const std::string& text) const {
    std::string all;
    char buffer[65536];
    while (!absl::StrContains(all, text)) {
      const ssize_t count = read(ends_[0], buffer, sizeof(buffer));
      REQUIRE(count > 0);
      all.append(buffer, static_cast<size_t>(count));
    }
    return all;
  }

 private:
  int ends_[2];
};

void Write(LogWriter* log, const std::string& message) {
  log->Write(absl::StrCat(kHead, message, "\n"));
}

// Guards against a request that waits because nobody reads the log.
TEST_CASE("a log that nobody reads holds nobody up") {
  const Pipe pipe;
  LogWriter log(pipe.input(), 1'000'000);
  const std::string filler(1000, 'x');
  const absl::Time start = absl::Now();
  for (int i = 0; i < 5000; ++i) {
    Write(&log, absl::StrCat("route: ended request=", i, " text=", filler));
  }
  CHECK(absl::Now() - start < absl::Seconds(5));
  CHECK(log.left_out_total() > 0);
  // What could not be written is told as soon as somebody reads. The writer
  // empties its store as a whole, so there is room after one read.
  const std::string first = pipe.ReadUntil("request=0 ");
  std::string rest;
  int extra = 0;
  while (!absl::StrContains(rest, "dropped=")) {
    Write(&log, absl::StrCat("route: ended request=extra-", ++extra, " x=1"));
    rest += pipe.ReadUntil("request=");
  }
  CHECK(absl::StrContains(rest, absl::StrCat(" dropped=")));
}

// Guards against a process that can't end because nobody reads its log.
TEST_CASE("a writer that nobody reads can be ended") {
  const Pipe pipe;
  const absl::Time start = absl::Now();
  {
    LogWriter log(pipe.input(), 1'000'000);
    for (int i = 0; i < 200; ++i) {
      Write(&log, absl::StrCat("store: lost text=", std::string(1000, 'x')));
    }
  }
  CHECK(absl::Now() - start < absl::Seconds(5));
}

// Guards against an event that floods the log and hides the others.
TEST_CASE("each event has its own bound, and tells what it left out") {
  EventLimits limits(2);
  const absl::Time start = absl::Now();
  const std::string lost = absl::StrCat(kHead, "store: lost pending=1");
  const std::string in_use = absl::StrCat(kHead, "peer: in use instance=a");
  CHECK(limits.Admit(lost, start) == 0);
  CHECK(limits.Admit(lost, start) == 0);
  CHECK(limits.Admit(lost, start) == std::nullopt);
  CHECK(limits.Admit(lost, start) == std::nullopt);
  CHECK(limits.Admit(in_use, start) == 0);
  CHECK(limits.Admit(lost, start + absl::Seconds(1)) == 2);
  CHECK(limits.Admit(lost, start + absl::Seconds(1)) == 0);
}

// Guards against memory that grows with the texts of a library.
TEST_CASE("events beyond the usual number share a bound") {
  EventLimits limits(1);
  const absl::Time start = absl::Now();
  for (size_t i = 0; i < EventLimits::kMostEvents; ++i) {
    CHECK(limits.Admit(absl::StrCat(kHead, "part: event", i, " x=1"), start) ==
          0);
  }
  CHECK(limits.Admit(absl::StrCat(kHead, "part: other x=1"), start) == 0);
  CHECK(limits.Admit(absl::StrCat(kHead, "part: another x=1"), start) ==
        std::nullopt);
}

// Guards against lines that a tool can't read, or that run into each other.
TEST_CASE("lines are written whole, with what was left out as a field") {
  const Pipe pipe;
  LogWriter log(pipe.input(), 1);
  Write(&log, "store: lost pending=1");
  Write(&log, "store: lost pending=2");
  usleep(1'100'000);
  Write(&log, "store: lost pending=3");
  const std::string text = pipe.ReadUntil("pending=3");
  const std::vector<std::string> lines =
      absl::StrSplit(text, '\n', absl::SkipEmpty());
  REQUIRE(lines.size() == 2);
  const auto last = base::ParseLogLine(lines[1]);
  REQUIRE(last);
  CHECK(last->Field("pending") == "3");
  CHECK(last->Field("left_out") == "1");
}

}  // namespace
}  // namespace baobabwall::edge
