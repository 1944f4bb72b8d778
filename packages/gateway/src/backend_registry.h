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

/// \brief Tracks the backend servers that are registered in the store.
///
/// The lease of an entry can expire while the store is unreachable although the
/// server is still running. An entry that is removed within kOutageGracePeriod
/// after the store became reachable again is therefore kept until that period
/// ends. At any other time the removal of an entry means that the server has
/// left.
///
/// A store that was restored from a copy returns older entries until the
/// servers and the operators have written theirs again. What is known to be
/// newer stays: an entry with a higher count, the removal of an entry, and, for
/// kRestoreGracePeriod, an evacuation.
class BackendRegistry {
 public:
  /// Running servers register again within about 2 s after the store becomes
  /// reachable.
  static constexpr absl::Duration kOutageGracePeriod = absl::Milliseconds(2200);

  /// Time for which a restored store may lack an evacuation, or have the entry
  /// of a server that had left: an entry that nobody renews ends within this
  /// time.
  static constexpr absl::Duration kRestoreGracePeriod = absl::Seconds(5);
  /// Maximum number of removed servers that are remembered.
  static constexpr size_t kMaxDeparted = 4096;

  /// Maximum number of changes that are logged one by one between two calls of
  /// TakeChanged(); of the others only the number is logged.
  static constexpr int kMaxListedChanges = 8;

  /// \param log called with one line for each change of a server.
  explicit BackendRegistry(std::function<void(const std::string&)> log)
      : log_(std::move(log)) {}

  /// \brief Called when the store answers again after an outage.
  void OnStoreReachable(absl::Time now);

  /// \brief Called when the store was found to be restored from an older copy.
  void OnStoreRestored(absl::Time now);

  /// \brief Sets the configuration, which holds the warm-up time of each
  /// service.
  void OnConfig(std::shared_ptr<const RoutingConfig> config);

  /// \brief Adds or updates the server of a written entry. Entries of an older
  /// incarnation of the same id are ignored.
  /// \param is_initial_read whether the entry is part of the first complete
  /// read. A server that was registered before this process started counts as
  /// warm unless its entry states that it is still warming up.
  void OnEntry(BackendServer server, bool is_initial_read, absl::Time now);

  /// \brief Called when an entry was removed or can no longer be parsed.
  void OnRemoved(absl::string_view id, absl::Time now);

  /// \brief Called after a complete read. Servers that the read did not return
  /// are removed.
  /// \param ids all ids that were read.
  void OnCompleteRead(const std::set<std::string>& ids, absl::Time now);

  void OnEvacuation(absl::string_view zone, bool is_evacuated, absl::Time now);
  /// \brief Called after a complete read. `zones` are all zones that are
  /// evacuated.
  void OnEvacuations(const std::set<std::string>& zones, absl::Time now);

  /// \brief Removes the kept entries once the grace period has ended.
  void OnTick(absl::Time now);

  /// \returns whether the servers or zones have changed since the last call.
  bool TakeChanged();

  std::shared_ptr<const BackendSet> Publish() const;

 private:
  using Entries =
      std::map<std::string, std::shared_ptr<const BackendServer>, std::less<>>;

  /// Incarnation of a server, and its count of changes of the entry.
  using EntryState = std::pair<int64_t, int64_t>;

  bool IsInRestoreGracePeriod(absl::Time now) const {
    return now - restored_at_ < kRestoreGracePeriod;
  }
  static EntryState StateOf(const BackendServer& server);
  /// \returns whether a newer state of the server is known than the entry's.
  bool IsOutdated(const BackendServer& server) const;
  /// \returns whether the entry is one that a restored store has brought back.
  bool IsReturnOfDeparted(const BackendServer& server, absl::Time now) const;
  void RememberDeparted(const BackendServer& server);
  absl::Duration WarmupOf(const BackendServer& server) const;
  bool IsInOutageGracePeriod(absl::Time now) const;
  /// \param previous the previous entry of the same incarnation; nullptr if the
  /// incarnation is new.
  void LogEntry(const BackendServer* previous, const BackendServer& server);
  void LogChange(const std::string& line);
  void Remove(Entries::iterator entry);
  /// \brief Ends the evacuations that are still missing, and accepts the
  /// entries that are still there.
  void EndRestoreGracePeriod(absl::Time now);
  /// \brief Starts the warm-up time of the zone's servers.
  void StartWarmup(absl::string_view zone, absl::Time now);

  std::function<void(const std::string&)> log_;

  std::shared_ptr<const RoutingConfig> config_;
  Entries entries_;  ///< By id.
  /// Ids of the servers whose removed entries are kept for the grace period.
  std::set<std::string, std::less<>> kept_ids_;
  /// Last states of the servers whose entries were removed, by id.
  std::map<std::string, EntryState, std::less<>> departed_;
  /// Entries that a restored store has brought back, until it is clear whether
  /// their servers renew them.
  std::map<std::string, BackendServer, std::less<>> doubtful_entries_;
  std::set<std::string, std::less<>> evacuated_zones_;
  /// Evacuated zones that the restored store does not name.
  std::set<std::string, std::less<>> kept_zones_;
  absl::Time restored_at_ = absl::InfinitePast();
  absl::Time store_reachable_since_ = absl::InfinitePast();
  bool is_changed_ = false;
  int logged_changes_ = 0;  ///< Since the last TakeChanged().
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BACKEND_REGISTRY_H_
