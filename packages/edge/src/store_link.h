#ifndef EDGE_SRC_STORE_LINK_H_
#define EDGE_SRC_STORE_LINK_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "control/control.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief HTTP client for calls to the store or for state reads from other
/// instances, on one event loop. Idle connections are reused.
///
/// The loss of a connection alone does not fail an idempotent call: the call is
/// sent again if its connection was idle before, or if it is a watch that was
/// waiting for changes. A call that fails therefore shows that the destination
/// cannot be reached or does not answer.
class StoreLink {
 public:
  struct Timeouts {
    /// Timeout of a read; a watch adds the time that the watch may wait.
    absl::Duration answer;
    /// Timeout of a write.
    absl::Duration write;
  };
  /// Timeouts of calls to the store. Writes have a longer timeout because the
  /// store may be slow, and a write that timed out may still take effect.
  static constexpr Timeouts kStoreTimeouts{absl::Milliseconds(1500),
                                           absl::Seconds(4)};
  /// Timeouts of reads from other instances, which answer from memory.
  static constexpr Timeouts kPeerTimeouts{absl::Milliseconds(500),
                                          absl::Milliseconds(500)};

  struct Codec {
    std::function<HttpRequest(const control::StoreRequest&)> encode;
    /// \returns an answer without a call id.
    std::function<control::StoreAnswer(const control::StoreRequest&,
                                       const HttpResponse&)>
        decode;
  };

  using DoneCallback = std::function<void(control::StoreAnswer)>;

  /// \param on_done called once for each call, but never within Call().
  StoreLink(asio::io_context* io,
            Codec codec,
            const Timeouts& timeouts,
            DoneCallback on_done);
  ~StoreLink();

  void Call(const gateway::Endpoint& destination, control::StoreCall call);

 private:
  class PendingCall;

  /// \returns an idle connection that the destination has not closed; nullopt
  /// if there is none.
  std::optional<tcp::socket> TakeIdleConnection(
      const gateway::Endpoint& destination);

  asio::io_context* io_;
  Codec codec_;
  Timeouts timeouts_;
  DoneCallback on_done_;
  std::map<gateway::Endpoint, std::list<tcp::socket>> idle_connections_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_STORE_LINK_H_
