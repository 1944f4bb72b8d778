#ifndef TEST_FAKE_STORE_H_
#define TEST_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "base/base.h"
#include "control/control.h"
#include "event_queue.h"
#include "transport/transport.h"

namespace baobabwall::test {

/// \brief The platform's key-value store under virtual time, with fault
/// injection.
class FakeStore {
 public:
  using AnswerCallback = std::function<void(control::StoreAnswer)>;

  struct Faults {
    absl::Duration min_delay = absl::Milliseconds(1);
    absl::Duration max_delay = absl::Milliseconds(5);
    /// Ratio of calls that are lost before execution.
    double call_loss_ratio = 0;
    /// Ratio of answers that are lost after execution of the call.
    double answer_loss_ratio = 0;
    bool is_down = false;  ///< True if all calls are lost.
    /// Number of reads still to be answered from the state saved by
    /// SaveStaleState().
    int stale_reads = 0;
  };
  /// Timeout of a call at the client.
  static constexpr absl::Duration kCallTimeout = absl::Seconds(1);

  FakeStore(EventQueue* queue, uint64_t seed) : queue_(queue), random_(seed) {}

  Faults& faults() { return faults_; }

  /// \brief Saves the current state for stale reads.
  void SaveStaleState() { stale_state_ = state_; }

  /// \param is_reachable false if the connection between caller and store is
  /// cut.
  void Start(const control::StoreCall& call,
             bool is_reachable,
             AnswerCallback done);

  /// \brief Reads a key without delay or faults; returns an empty string if the
  /// key does not exist.
  std::string Peek(const std::string& key) const;
  /// \returns the current value of each key with a prefix.
  std::map<std::string, std::string> PeekPrefix(
      const std::string& prefix) const;

  /// \returns the initial value of each key with a prefix that was ever
  /// created, including deleted keys.
  std::multimap<std::string, std::string> CreatedValues(
      const std::string& prefix) const;

  int64_t reads() const { return reads_; }
  int64_t writes() const { return writes_; }
  /// \returns the maximum number of reads within one second of virtual time.
  int64_t peak_reads_per_s() const { return peak_reads_per_s_; }
  size_t pending_watches() const { return pending_watches_.size(); }

 private:
  struct PendingWatch {
    control::StoreWatch watch;
    AnswerCallback done;
    absl::Time end_time;
  };

  control::StoreAnswer Execute(const control::StoreRequest& request);
  void CountCall(const control::StoreRequest& request);
  void Deliver(control::StoreAnswer answer, const AnswerCallback& done);
  void CompleteWatches();
  absl::Duration RandomDelay();

  EventQueue* queue_;
  base::Random random_;
  Faults faults_;
  transport::KeyValueState state_;
  transport::KeyValueState stale_state_;
  std::list<PendingWatch> pending_watches_;
  std::multimap<std::string, std::string> created_values_;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  std::map<int64_t, int64_t> reads_by_second_;
  int64_t peak_reads_per_s_ = 0;
};

}  // namespace baobabwall::test

#endif  // TEST_FAKE_STORE_H_
