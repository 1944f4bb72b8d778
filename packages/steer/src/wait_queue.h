#ifndef STEER_SRC_WAIT_QUEUE_H_
#define STEER_SRC_WAIT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "model/model.h"
#include "steer/src/event.h"

namespace baobabwall::steer {

/// \brief Entry of WaitQueue: a request that waits for a slot.
struct WaitingRequest {
  RequestId id = 0;
  std::string service;
  std::string tenant;
  model::ServiceClass service_class = model::ServiceClass::kInteractive;
  absl::Time deadline;
};

/// \brief Queue of the requests that wait for a slot, with a separate bounded
/// queue per service.
///
/// Each service has its own length limit, so an overloaded service takes no
/// queue entries from other services. If services compete for links or for
/// slots of other instances, deficit round robin determines the order. Classes
/// are served by weight, the tenants of a class equally, and the services of a
/// tenant equally. Each request costs one unit.
class WaitQueue {
 public:
  enum class Offer {
    kTaken,    ///< The request was started or refused.
    kBlocked,  ///< No request of the service can start now.
  };

  /// \param length maximum number of waiting requests per service.
  /// \param is_fair if false, requests are served in arrival order, and a
  /// blocked head blocks all requests.
  WaitQueue(size_t length, bool is_fair);

  /// \brief Appends a request.
  /// \returns false, without a change, if the queue of the service is full.
  bool Push(WaitingRequest request);

  /// \brief Removes a request.
  /// \returns false if the request is not in the queue.
  bool Erase(RequestId id);

  /// \brief Offers the waiting requests of one service in arrival order.
  void Serve(absl::string_view service,
             const std::function<Offer(const WaitingRequest&)>& offer);

  /// \brief Offers the waiting requests of all services in fair order.
  void ServeAll(const std::function<Offer(const WaitingRequest&)>& offer);

  /// \brief Removes the requests whose deadline has passed.
  std::vector<RequestId> TakeExpired(absl::Time now);

  size_t Length(absl::string_view service) const;

  /// \returns the number of requests of a class that are served per round while
  /// all classes have waiting requests. Users do not wait for a bulk download
  /// to start, so bulk gets the smallest weight, which is not zero to avoid
  /// starvation.
  static int Weight(model::ServiceClass service_class);

 private:
  struct Flow {
    std::deque<WaitingRequest> waiting;
    bool is_blocked = false;
  };
  /// Flows of a tenant, by service name.
  struct TenantQueue {
    std::map<std::string, Flow, std::less<>> flows;
    std::string last_service;
  };
  struct ClassQueue {
    std::map<std::string, TenantQueue, std::less<>> tenants;
    std::string last_tenant;
    int deficit = 0;
  };

  Flow* Find(absl::string_view service);
  const Flow* Find(absl::string_view service) const;
  struct Turn {
    ClassQueue* queue = nullptr;
    TenantQueue* tenant = nullptr;
    Flow* flow = nullptr;  ///< nullptr if no unblocked request waits.
    std::string tenant_name;
    std::string service;
  };

  /// \returns the next turn within a class.
  static Turn NextTurn(ClassQueue* queue);
  /// \returns the next turn of a class with a positive deficit; starts a new
  /// round if no class has a positive deficit.
  Turn NextTurn();
  void ServeByArrival(const std::function<Offer(const WaitingRequest&)>& offer);

  size_t max_length_;
  bool is_fair_;
  std::map<model::ServiceClass, ClassQueue> classes_;
  /// Deficits before the current round; empty once a request was taken in the
  /// round.
  std::map<ClassQueue*, int> deficits_before_round_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_WAIT_QUEUE_H_
