#include "gateway/src/backend_server.h"

#include <algorithm>
#include <utility>

namespace baobabwall::gateway {
namespace internal {

bool HasLowerId(const std::shared_ptr<const BackendServer>& server,
                absl::string_view id) {
  return server->id < id;
}

}  // namespace internal

void BackendSet::Add(BackendServer server) {
  const auto place = std::lower_bound(servers.begin(), servers.end(), server.id,
                                      internal::HasLowerId);
  servers.insert(place,
                 std::make_shared<const BackendServer>(std::move(server)));
}

const BackendServer* BackendSet::Find(absl::string_view id) const {
  const auto found = std::lower_bound(servers.begin(), servers.end(), id,
                                      internal::HasLowerId);
  const bool is_found = found != servers.end() && (*found)->id == id;
  return is_found ? found->get() : nullptr;
}

}  // namespace baobabwall::gateway
