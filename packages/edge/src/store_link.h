#ifndef EDGE_SRC_STORE_LINK_H_
#define EDGE_SRC_STORE_LINK_H_

#include <functional>
#include <list>
#include <memory>

#include "control/control.h"
#include "edge/src/dialect.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Carries calls to the store, on one event loop; connections are kept.
class StoreLink {
 public:
  /// Time for an answer, beyond the time that a watch waits.
  static constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(1500);
  /// Writes get longer: the store may be slow, and a write without an answer
  /// may still be done.
  static constexpr absl::Duration kWriteTimeout = absl::Seconds(4);

  using Done = std::function<void(control::StoreAnswer)>;

  /// \param done called once for each call, never from within Call().
  StoreLink(asio::io_context* io,
            const Dialect* dialect,
            gateway::Endpoint store,
            Done done);
  ~StoreLink();

  void Call(control::StoreCall call);

 private:
  class Exchange;

  asio::io_context* io_;
  const Dialect* dialect_;
  gateway::Endpoint store_;
  Done done_;
  std::list<tcp::socket> idle_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_STORE_LINK_H_
