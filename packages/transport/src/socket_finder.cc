#include "transport/src/socket_finder.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <functional>

#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace baobabwall::transport::internal {
namespace {

constexpr int kNotLookedUp = -2;
// A worker thread serves one connection at a time, until the connection is
// closed.
thread_local int cached_accepted_socket = kNotLookedUp;

struct Endpoint {
  std::string address;
  int port = 0;
};

using GetEndpointFunction = int (*)(int, sockaddr*, socklen_t*);

bool ReadEndpoint(GetEndpointFunction get_endpoint,
                  int socket,
                  Endpoint* endpoint) {
  sockaddr_storage storage = {};
  socklen_t length = sizeof(storage);
  if (get_endpoint(socket, reinterpret_cast<sockaddr*>(&storage), &length) !=
      0) {
    return false;
  }
  char text[INET6_ADDRSTRLEN] = "";
  if (storage.ss_family == AF_INET) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
    endpoint->port = ntohs(address->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* address = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &address->sin6_addr, text, sizeof(text));
    endpoint->port = ntohs(address->sin6_port);
  } else {
    return false;
  }
  endpoint->address = text;
  return true;
}

bool IsConnectedTo(int socket, absl::string_view address, int port) {
  Endpoint peer;
  return ReadEndpoint(getpeername, socket, &peer) && peer.port == port &&
         peer.address == address;
}

void ForEachDescriptor(const std::function<bool(int)>& visit) {
  DIR* directory = opendir("/proc/self/fd");
  if (directory == nullptr) {
    return;
  }
  for (const dirent* entry; (entry = readdir(directory)) != nullptr;) {
    int descriptor = -1;
    if (absl::SimpleAtoi(entry->d_name, &descriptor) && !visit(descriptor)) {
      break;
    }
  }
  closedir(directory);
}

}  // namespace

int FindAcceptedSocket(absl::string_view peer_address,
                       int peer_port,
                       int local_port) {
  const auto is_requested_connection = [&](int socket) {
    Endpoint local;
    return IsConnectedTo(socket, peer_address, peer_port) &&
           ReadEndpoint(getsockname, socket, &local) &&
           local.port == local_port;
  };
  if (cached_accepted_socket == kNotLookedUp) {
    cached_accepted_socket = -1;
    ForEachDescriptor([&](int descriptor) {
      if (is_requested_connection(descriptor)) {
        cached_accepted_socket = descriptor;
      }
      return cached_accepted_socket < 0;
    });
  }
  return cached_accepted_socket;
}

void ResetAcceptedSocket() {
  cached_accepted_socket = kNotLookedUp;
}

int FindOpenedSocket(absl::string_view peer_address,
                     int peer_port,
                     const std::set<int>& claimed_sockets) {
  int matching_socket = -1;
  int match_count = 0;
  ForEachDescriptor([&](int descriptor) {
    if (claimed_sockets.count(descriptor) == 0 &&
        IsConnectedTo(descriptor, peer_address, peer_port)) {
      matching_socket = descriptor;
      ++match_count;
    }
    return true;
  });
  return match_count == 1 ? matching_socket : -1;
}

bool IsReadable(int socket) {
  pollfd poll_descriptor = {socket, POLLIN | POLLRDHUP, 0};
  return poll(&poll_descriptor, 1, 0) != 0;
}

}  // namespace baobabwall::transport::internal
