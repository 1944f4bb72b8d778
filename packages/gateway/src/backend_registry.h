#ifndef GATEWAY_SRC_BACKEND_REGISTRY_H_
#define GATEWAY_SRC_BACKEND_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief Which backend servers exist, from the entries of the store.
///
/// Entries can lapse while the store is away although their servers live, so
/// an entry that vanishes around an outage is kept for kOutageGrace after the
/// store's return. At any other time a vanished entry means that the server
/// leaves.
class BackendRegistry {
 public:
  /// Servers that live register again within about 2 s of the store's return.
  static constexpr absl::Duration kOutageGrace = absl::Milliseconds(2200);

  /// \param log receives one line for each change of a server.
  explicit BackendRegistry(std::function<void(const std::string&)> log)
      : log_(std::move(log)) {}

  /// \brief The store answers again after it did not.
  void OnStoreReturn(absl::Time now);

  /// \brief Warm-up times come from the configuration's services.
  void OnConfig(std::shared_ptr<const RoutingConfig> config);

  /// \brief An entry was written. Older incarnations of an id are ignored.
  /// \param is_start whether this is part of the first complete read: servers
  /// that were there before this process count as warm unless they say else.
  void OnEntry(BackendServer server, bool is_start, absl::Time now);

  /// \brief An entry was removed, or can't be read any more.
  void OnRemoved(absl::string_view id, absl::Time now);

  /// \brief A complete read ended: all other entries are gone.
  /// \param ids all ids that were read.
  void OnCompleteRead(const std::set<std::string>& ids, absl::Time now);

  void OnEvacuation(absl::string_view zone, bool is_evacuated, absl::Time now);
  /// \brief A complete read ended: only these zones are evacuated.
  void OnEvacuations(const std::set<std::string>& zones, absl::Time now);

  /// \brief Drops entries whose grace has ended.
  void OnTick(absl::Time now);

  /// \returns true once after each change.
  bool TakeChanged();

  std::shared_ptr<const BackendSet> Publish() const;

 private:
  struct Entry {
    BackendServer server;
    absl::Time removed_at = absl::InfiniteFuture();  ///< While it is kept.
  };

  using Entries = std::map<std::string, Entry, std::less<>>;

  absl::Duration WarmupOf(const BackendServer& server) const;
  bool IsNearOutage(absl::Time now) const;
  /// \param before the same incarnation as it was known; nullptr: a new one.
  void LogEntry(const BackendServer* before, const BackendServer& server) const;
  /// \returns the entry behind the removed one.
  Entries::iterator Remove(Entries::iterator entry);

  std::function<void(const std::string&)> log_;

  std::shared_ptr<const RoutingConfig> config_;
  Entries entries_;
  std::set<std::string, std::less<>> evacuated_;
  absl::Time store_returned_ = absl::InfinitePast();
  bool is_changed_ = false;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BACKEND_REGISTRY_H_
