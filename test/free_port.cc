#include "free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <mutex>
#include <string>

namespace baobabwall::test {
namespace {

// These ports are below the kernel's range for outgoing connections, which
// starts at 32768, so that no outgoing connection takes a port between the
// probe and its use.
constexpr int kFirstPort = 10'000;
constexpr int kBlockCount = 200;
constexpr int kPortsPerBlock = 100;

/// A block of ports that is reserved for this process until the process exits.
///
/// Test processes run in parallel; a lock on a file reserves the block.
class PortBlocks {
 public:
  /// \returns the next unused port; 0 if no port is left.
  int Next() {
    if (used_ports_ == kPortsPerBlock && !TakeBlock()) {
      return 0;
    }
    return kFirstPort + block_ * kPortsPerBlock + used_ports_++;
  }

 private:
  bool TakeBlock() {
    const std::string folder = std::filesystem::temp_directory_path().string();
    for (++block_; block_ < kBlockCount; ++block_) {
      const std::string name =
          folder + "/baobabwall-ports-" + std::to_string(block_) + ".lock";
      const int lock_file =
          open(name.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
      if (lock_file < 0) {
        continue;
      }
      if (flock(lock_file, LOCK_EX | LOCK_NB) == 0) {
        used_ports_ = 0;
        return true;
      }
      close(lock_file);
    }
    return false;
  }

  int block_ = -1;
  int used_ports_ = kPortsPerBlock;
};

/// \returns whether the port is free for both TCP and UDP.
bool IsFree(int port) {
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int socket_fd = socket(AF_INET, type, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool is_bound = bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address)) == 0;
    close(socket_fd);
    if (!is_bound) {
      return false;
    }
  }
  return true;
}

}  // namespace

int FreePort() {
  static std::mutex mutex;
  static PortBlocks blocks;
  std::lock_guard<std::mutex> lock(mutex);
  int port = blocks.Next();
  while (port != 0 && !IsFree(port)) {
    port = blocks.Next();
  }
  return port;
}

}  // namespace baobabwall::test
