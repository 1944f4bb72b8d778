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

// Below the ports that the kernel gives to outgoing connections (32768 on), so
// that none of them takes a port between the probe and its use.
constexpr int kFirstPort = 10'000;
constexpr int kBlocks = 200;
constexpr int kBlockPorts = 100;

/// Block of ports that belongs to this process until it ends.
///
/// Tests run side by side: a lock on a file keeps others out of the block.
class PortBlocks {
 public:
  /// \returns the next port that was not handed out; 0: none is left.
  int Next() {
    if (used_ == kBlockPorts && !TakeBlock()) {
      return 0;
    }
    return kFirstPort + block_ * kBlockPorts + used_++;
  }

 private:
  bool TakeBlock() {
    const std::string folder = std::filesystem::temp_directory_path().string();
    for (++block_; block_ < kBlocks; ++block_) {
      const std::string name =
          folder + "/baobabwall-ports-" + std::to_string(block_) + ".lock";
      const int file = open(name.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
      if (file < 0) {
        continue;
      }
      if (flock(file, LOCK_EX | LOCK_NB) == 0) {
        used_ = 0;
        return true;
      }
      close(file);
    }
    return false;
  }

  int block_ = -1;
  int used_ = kBlockPorts;
};

/// \returns whether nothing holds the port, for TCP and for UDP.
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
