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

constexpr char kLinePrefix[] = "I20261204 10:47:36.123456 12 loop.cc:9] ";

/// A pipe whose reading end is controlled by the test.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }

  int input() const { return ends_[1]; }

  /// \returns the written text, up to and including a line that contains
  /// `text`.
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
  log->Write(absl::StrCat(kLinePrefix, message, "\n"));
}

// Guards against requests that block because the reader of the log has stopped.
TEST_CASE("a blocked log reader does not block writers of log lines") {
  const Pipe pipe;
  LogWriter log(pipe.input(), 1'000'000);
  const std::string filler(1000, 'x');
  const absl::Time start = absl::Now();
  for (int i = 0; i < 5000; ++i) {
    Write(&log, absl::StrCat("route: ended request=", i, " text=", filler));
  }
  CHECK(absl::Now() - start < absl::Seconds(5));
  CHECK(log.suppressed_total() > 0);
  // The number of dropped lines is logged as soon as the reader resumes. The
  // writer takes all pending text at once, so there is space for new lines
  // after one read.
  const std::string first_text = pipe.ReadUntil("request=0 ");
  std::string later_text;
  int extra_lines = 0;
  while (!absl::StrContains(later_text, "dropped=")) {
    Write(&log,
          absl::StrCat("route: ended request=extra-", ++extra_lines, " x=1"));
    later_text += pipe.ReadUntil("request=");
  }
  CHECK(absl::StrContains(later_text, absl::StrCat(" dropped=")));
}

// Guards against a process that cannot exit because the reader of its log has
// stopped.
TEST_CASE("a log writer with a blocked reader can be destroyed") {
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

// Guards against one event that floods the log and suppresses other events.
TEST_CASE("each event has its own rate limit and counts suppressed lines") {
  EventLimits limits(2);
  const absl::Time start = absl::Now();
  const std::string store_lost =
      absl::StrCat(kLinePrefix, "store: lost pending=1");
  const std::string peer_in_use =
      absl::StrCat(kLinePrefix, "peer: in use instance=a");
  CHECK(limits.Admit(store_lost, start) == 0);
  CHECK(limits.Admit(store_lost, start) == 0);
  CHECK(limits.Admit(store_lost, start) == std::nullopt);
  CHECK(limits.Admit(store_lost, start) == std::nullopt);
  CHECK(limits.Admit(peer_in_use, start) == 0);
  CHECK(limits.Admit(store_lost, start + absl::Seconds(1)) == 2);
  CHECK(limits.Admit(store_lost, start + absl::Seconds(1)) == 0);
}

// Guards against memory use that grows with the number of different log texts
// of a library.
TEST_CASE("events beyond the maximum number share a rate limit") {
  EventLimits limits(1);
  const absl::Time start = absl::Now();
  for (size_t i = 0; i < EventLimits::kMaxEvents; ++i) {
    CHECK(limits.Admit(absl::StrCat(kLinePrefix, "part: event", i, " x=1"),
                       start) == 0);
  }
  CHECK(limits.Admit(absl::StrCat(kLinePrefix, "part: other x=1"), start) == 0);
  CHECK(limits.Admit(absl::StrCat(kLinePrefix, "part: another x=1"), start) ==
        std::nullopt);
}

// Guards against lines that a parser cannot read, and against lines without a
// separator.
TEST_CASE("lines are written completely, with the number of suppressed lines") {
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
