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

/// \brief Key-value state with revisions, without I/O or waiting.
///
/// Used by EmbeddedStore and by the store stand-in of the tests.
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

  /// \returns the keys of the prefix that were written after the revision.
  control::StoreAnswer Changes(const control::StoreWatch& request) const;

  /// \brief Deletes the keys of lapsed leases.
  /// \returns true if any key was deleted.
  bool ExpireLeases(absl::Time now);

  int64_t revision() const { return revision_; }

 private:
  struct Value {
    std::string text;
    int64_t revision = 0;
    uint64_t lease = 0;
    bool is_deleted = false;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time end;
  };

  std::map<std::string, Value> values_;
  std::map<uint64_t, Lease> leases_;
  int64_t revision_ = 0;
  uint64_t last_lease_ = 0;
};

/// \brief Store within the process, for trying the system with one process.
/// Its content is gone when the process ends.
class EmbeddedStore : public StoreClient {
 public:
  EmbeddedStore();
  ~EmbeddedStore() override;

  void Start(control::StoreCall call, Done done) override;

 private:
  struct Waiter {
    control::StoreCallId id;
    control::StoreWatch watch;
    absl::Time end;
    Done done;
  };

  void Run();
  control::StoreAnswer Execute(const control::StoreRequest& request);

  std::mutex mutex_;
  std::condition_variable wake_;
  KeyValueState state_;
  std::vector<Waiter> waiters_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_EMBEDDED_STORE_H_
