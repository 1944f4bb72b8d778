#ifndef CONTROL_SRC_STORE_READER_H_
#define CONTROL_SRC_STORE_READER_H_

#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "control/src/action.h"
#include "control/src/backoff.h"
#include "control/src/config_log.h"
#include "control/src/identity.h"
#include "control/src/membership.h"

namespace baobabwall::control {

/// \brief Decides whether this instance reads the log from the store, and keeps
/// one watch pending while the instance is a reader.
///
/// The two best-ranked live members of each zone are readers. After its start,
/// an instance temporarily treats all instances in the platform's list as
/// members, so that a simultaneous start of all instances does not create
/// additional readers. An instance that is not a reader and receives no
/// configuration from its peers reads the store after a random delay of several
/// seconds.
class StoreReader {
 public:
  StoreReader(Identity self,
              ConfigLog* log,
              const Membership* membership,
              std::function<StoreCallId()> next_call_id,
              uint64_t seed);

  void OnTick(absl::Time now, Actions* actions);
  void OnList() { has_instance_list_ = true; }

  /// \returns true if the answer belongs to a store call of this reader.
  bool OnStoreAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

  bool is_reader() const { return is_reader_; }

 private:
  bool RanksAsReader(absl::Time now) const;

  Identity self_;
  ConfigLog* log_;
  const Membership* membership_;
  std::function<StoreCallId()> next_call_id_;
  base::Random random_;
  bool has_instance_list_ = false;
  bool is_reader_ = false;
  bool is_first_read_started_ = false;
  absl::Time started_at_ = absl::InfinitePast();
  absl::Time first_read_at_ = absl::InfinitePast();
  absl::Time next_bootstrap_read_at_ = absl::InfinitePast();
  Backoff bootstrap_backoff_;
  StoreCallId pending_watch_call_ = 0;
  absl::Time next_watch_at_ = absl::InfinitePast();
  Backoff watch_backoff_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_STORE_READER_H_
