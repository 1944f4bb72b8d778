#ifndef EDGE_SRC_STORE_LINK_H_
#define EDGE_SRC_STORE_LINK_H_

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "absl/time/time.h"
#include "control/control.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Carries calls to the store, or reads to other instances, on one event
/// loop; connections are kept.
class StoreLink {
 public:
  struct Timeouts {
    /// Time for an answer, beyond the time that a watch waits.
    absl::Duration answer;
    /// Time for an answer to a write.
    absl::Duration write;
  };
  /// Of the store. Writes get longer: it may be slow, and a write without an
  /// answer may still be done.
  static constexpr Timeouts kStoreTimeouts{absl::Milliseconds(1500),
                                           absl::Seconds(4)};
  /// Of other instances, which answer from memory.
  static constexpr Timeouts kPeerTimeouts{absl::Milliseconds(500),
                                          absl::Milliseconds(500)};

  struct Codec {
    std::function<HttpRequest(const control::StoreRequest&)> encode;
    /// \returns an answer without an id.
    std::function<control::StoreAnswer(const control::StoreRequest&,
                                       const HttpResponse&)>
        decode;
  };

  using Done = std::function<void(control::StoreAnswer)>;

  /// \param done called once for each call, never from within Call().
  StoreLink(asio::io_context* io,
            Codec codec,
            const Timeouts& timeouts,
            Done done);
  ~StoreLink();

  void Call(const gateway::Endpoint& to, control::StoreCall call);

 private:
  class Exchange;

  asio::io_context* io_;
  Codec codec_;
  Timeouts timeouts_;
  Done done_;
  std::map<gateway::Endpoint, std::list<tcp::socket>> idle_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_STORE_LINK_H_
