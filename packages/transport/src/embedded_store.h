#ifndef TRANSPORT_SRC_EMBEDDED_STORE_H_
#define TRANSPORT_SRC_EMBEDDED_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "transport/src/store_client.h"

namespace baobabwall::transport {

/// \brief In-memory key-value state with revisions and leases. No function
/// blocks.
///
/// EmbeddedStore and the store stand-in of the tests use this class.
class KeyValueState {
 public:
  control::StoreAnswer Get(const control::StoreGet& request) const;
  control::StoreAnswer Range(const control::StoreRange& request) const;
  control::StoreAnswer CompareAndSwap(
      const control::StoreCompareAndSwap& request);
  control::StoreAnswer Grant(const control::StoreLeaseGrant& request,
                             absl::Time now);
  control::StoreAnswer KeepAlive(const control::StoreLeaseKeepAlive& request,
                                 absl::Time now);

  /// \brief Ends a lease and deletes its keys.
  control::StoreAnswer EndLease(const control::StoreLeaseEnd& request,
                                absl::Time now);

  /// \returns the keys that have the prefix of the watch and were written or
  /// deleted after the revision of the watch.
  control::StoreAnswer Changes(const control::StoreWatch& request) const;

  /// \brief Removes expired leases and deletes their keys.
  /// \returns true if any key was deleted.
  bool ExpireLeases(absl::Time now);

  int64_t revision() const { return revision_; }

 private:
  struct StoredValue {
    std::string data;
    int64_t revision = 0;
    uint64_t lease = 0;
    bool is_deleted = false;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time expiry_time;
  };

  std::map<std::string, StoredValue> values_;
  std::map<uint64_t, Lease> leases_;
  int64_t revision_ = 0;
  uint64_t last_lease_id_ = 0;
};

/// \brief Store inside the process, for running the system as a single process.
/// The content is not persisted.
class EmbeddedStore : public StoreClient {
 public:
  EmbeddedStore();
  ~EmbeddedStore() override;

  void Start(control::StoreCall call, Done done) override;

 private:
  struct PendingWatch {
    control::StoreCallId id;
    control::StoreWatch watch;
    absl::Time deadline;
    Done done;
  };

  void Run();
  control::StoreAnswer Execute(const control::StoreRequest& request);

  std::mutex mutex_;
  std::condition_variable wake_condition_;
  KeyValueState state_;
  std::vector<PendingWatch> pending_watches_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_EMBEDDED_STORE_H_
