#include "process_watch.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"

namespace baobabwall::test {
namespace {

constexpr absl::Duration kSampleInterval = absl::Milliseconds(20);
/// State of a listening socket in /proc/net/tcp.
constexpr absl::string_view kListenState = "0A";

int64_t ParseHex(absl::string_view text) {
  int64_t value = 0;
  return absl::SimpleHexAtoi(text, &value) ? value : 0;
}

/// \returns a size of /proc/PID/status in bytes; 0 if it is missing.
int64_t ReadStatusBytes(pid_t pid, const std::string& name) {
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string word;
  int64_t kilobytes = 0;
  while (status >> word) {
    if (word == name && status >> kilobytes) {
      return kilobytes * 1024;
    }
  }
  return 0;
}

/// \returns the targets of the open descriptors, such as "socket:[123]".
std::vector<std::string> ReadDescriptors(pid_t pid) {
  std::vector<std::string> targets;
  std::error_code error;
  std::filesystem::directory_iterator entry(absl::StrCat("/proc/", pid, "/fd"),
                                            error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    // A descriptor that was closed meanwhile has no target, but was open.
    std::error_code link_error;
    targets.push_back(
        std::filesystem::read_symlink(entry->path(), link_error).string());
    entry.increment(error);
  }
  return targets;
}

/// \returns the bytes in the buffers of the sockets that have one of the inodes
/// or the local port.
int64_t ReadSocketBytes(const std::set<std::string>& inodes, int port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // The names of the columns.
  int64_t bytes = 0;
  while (std::getline(table, line)) {
    // Columns: number, local address, remote address, state, queues, timer,
    // retransmissions, user, timeout, inode.
    const std::vector<std::string> columns =
        absl::StrSplit(line, ' ', absl::SkipEmpty());
    if (columns.size() < 10 || columns[3] == kListenState) {
      continue;
    }
    const std::vector<std::string> local = absl::StrSplit(columns[1], ':');
    const std::vector<std::string> queues = absl::StrSplit(columns[4], ':');
    if (local.size() != 2 || queues.size() != 2) {
      continue;
    }
    if (ParseHex(local[1]) == port || inodes.count(columns[9]) > 0) {
      bytes += ParseHex(queues[0]) + ParseHex(queues[1]);
    }
  }
  return bytes;
}

}  // namespace

ProcessUse ReadProcessUse(pid_t pid, int port) {
  ProcessUse use;
  std::set<std::string> inodes;
  for (const std::string& target : ReadDescriptors(pid)) {
    ++use.descriptors;
    absl::string_view inode = target;
    if (absl::ConsumePrefix(&inode, "socket:[") &&
        absl::ConsumeSuffix(&inode, "]")) {
      inodes.emplace(inode);
    }
  }
  use.resident_bytes = ReadStatusBytes(pid, "VmRSS:");
  use.socket_bytes = ReadSocketBytes(inodes, port);
  return use;
}

int64_t ReadPeakResidentBytes(pid_t pid) {
  return ReadStatusBytes(pid, "VmHWM:");
}

ProcessWatch::ProcessWatch(pid_t pid, int port)
    : pid_(pid), port_(port), thread_([this] { Run(); }) {}

ProcessWatch::~ProcessWatch() {
  is_stopping_ = true;
  thread_.join();
}

int64_t ProcessWatch::peak_memory_bytes() const {
  return std::max<int64_t>(peak_memory_bytes_, ReadPeakResidentBytes(pid_));
}

void ProcessWatch::Run() {
  while (!is_stopping_) {
    const ProcessUse use = ReadProcessUse(pid_, port_);
    peak_memory_bytes_ =
        std::max<int64_t>(peak_memory_bytes_, use.memory_bytes());
    peak_socket_bytes_ =
        std::max<int64_t>(peak_socket_bytes_, use.socket_bytes);
    peak_descriptors_ = std::max<int>(peak_descriptors_, use.descriptors);
    absl::SleepFor(kSampleInterval);
  }
}

}  // namespace baobabwall::test
