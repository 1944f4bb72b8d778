#ifndef TEST_FAKE_NETWORK_H_
#define TEST_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/base.h"
#include "control/control.h"
#include "event_queue.h"

namespace baobabwall::test {

/// \returns the size of a message sent as JSON-RPC over HTTP: the length of the
/// JSON values plus 200 bytes each for the headers of the request and the
/// response.
size_t EncodedBytes(const control::PeerMessage& message);

/// \brief Network between instances under virtual time, with fault injection.
class FakeNetwork {
 public:
  using Receiver = std::function<void(const control::PeerMessage&)>;

  struct Faults {
    absl::Duration min_delay = absl::Milliseconds(4);
    /// A delay above min_delay reorders messages.
    absl::Duration max_delay = absl::Milliseconds(8);
    double loss_ratio = 0;
    double duplication_ratio = 0;
    /// Returns true if messages from one instance to another are dropped; a
    /// link may be cut in one direction only.
    std::function<bool(const control::Identity& from,
                       const control::Identity& to)>
        is_cut;
  };
  struct Traffic {
    int64_t messages = 0;
    int64_t bytes = 0;
  };

  FakeNetwork(EventQueue* queue, uint64_t seed)
      : queue_(queue), random_(seed) {}

  Faults& faults() { return faults_; }

  /// \brief Registers the receiver of messages sent to the address of an
  /// identity.
  void Attach(const control::Identity& identity, Receiver receiver);
  void Detach(const control::Identity& identity);

  void Send(const control::Identity& from, const control::SendPeer& action);

  /// \returns the traffic sent by each instance, by instance name.
  const std::map<std::string, Traffic>& sent() const { return sent_; }
  /// \returns the traffic received by each instance, by instance name.
  const std::map<std::string, Traffic>& received() const { return received_; }
  void ResetCounts();

 private:
  using Address = std::pair<std::string, int>;
  struct Endpoint {
    control::Identity identity;
    Receiver receiver;
  };

  EventQueue* queue_;
  base::Random random_;
  Faults faults_;
  std::map<Address, Endpoint> endpoints_;
  std::map<std::string, Traffic> sent_;
  std::map<std::string, Traffic> received_;
};

}  // namespace baobabwall::test

#endif  // TEST_FAKE_NETWORK_H_
