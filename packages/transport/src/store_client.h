#ifndef TRANSPORT_SRC_STORE_CLIENT_H_
#define TRANSPORT_SRC_STORE_CLIENT_H_

#include <functional>

#include "control/control.h"

namespace baobabwall::transport {

/// \brief Client of the platform's key-value service, with one implementation
/// per protocol.
class StoreClient {
 public:
  using Done = std::function<void(control::StoreAnswer)>;

  virtual ~StoreClient() = default;

  /// \brief Starts a call and returns at once.
  /// \param call request and the id that its answer carries.
  /// \param done called exactly once, on any thread. A call without an answer
  /// completes with StoreStatus::kUnknown.
  virtual void Start(control::StoreCall call, Done done) = 0;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_STORE_CLIENT_H_
