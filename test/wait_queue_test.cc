#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "steer_fixture.h"

namespace baobabwall::steer {
namespace {

using model::ServiceClass;

struct Flow {
  std::string service;
  std::string tenant;
  ServiceClass service_class;
};

const std::vector<Flow> kFlows = {
    {"boliches", "a", ServiceClass::kInteractive},
    {"stock", "b", ServiceClass::kInteractive},
    {"reservas", "a", ServiceClass::kTransactional},
    {"cancionero", "a", ServiceClass::kBulk},
};

/// \brief Calls ServeAll() repeatedly while all flows have waiting requests;
/// call i can start `slot_counts[i]` requests.
/// \returns number of served requests by service.
std::map<std::string, int> ServeBacklog(bool is_fair,
                                        const std::vector<int>& slot_counts) {
  WaitQueue queue(10'000, is_fair);
  RequestId id = 0;
  // The bulk requests arrive first and would be served first in arrival order.
  for (auto flow = kFlows.rbegin(); flow != kFlows.rend(); ++flow) {
    for (int i = 0; i < 5'000; ++i) {
      queue.Push({++id, flow->service, flow->tenant, flow->service_class,
                  absl::InfiniteFuture()});
    }
  }
  std::map<std::string, int> served;
  for (int free_slots : slot_counts) {
    queue.ServeAll([&](const WaitingRequest& waiting) {
      if (free_slots-- <= 0) {
        return WaitQueue::Offer::kBlocked;
      }
      ++served[waiting.service];
      return WaitQueue::Offer::kTaken;
    });
  }
  return served;
}

/// \returns the larger of two differences: in rounds between any two classes,
/// and in requests between the two tenants of a class.
double MaxServiceDifference(std::map<std::string, int> served) {
  const double interactive =
      (served["boliches"] + served["stock"]) /
      static_cast<double>(WaitQueue::Weight(ServiceClass::kInteractive));
  const double transactional =
      served["reservas"] /
      static_cast<double>(WaitQueue::Weight(ServiceClass::kTransactional));
  const double bulk =
      served["cancionero"] /
      static_cast<double>(WaitQueue::Weight(ServiceClass::kBulk));
  const auto [min_rounds, max_rounds] =
      std::minmax({interactive, transactional, bulk});
  return std::max<double>(max_rounds - min_rounds,
                          std::abs(served["boliches"] - served["stock"]));
}

// Guards against a class or tenant that is served more often than its weight
// allows, including the case of one free slot at a time.
TEST_CASE("the service of classes and tenants differs by at most one round") {
  CHECK(rc::check([] {
    const auto slot_counts =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    RC_ASSERT(MaxServiceDifference(ServeBacklog(true, slot_counts)) <= 1.0);
  }));
  CHECK(MaxServiceDifference(ServeBacklog(true, std::vector<int>(100, 1))) <=
        1.0);
  // The mutant serves in arrival order.
  CHECK(MaxServiceDifference(ServeBacklog(false, std::vector<int>(100, 1))) >
        1.0);
}

// Guards against an overloaded service that takes queue entries of another
// service.
TEST_CASE("each service has its own length limit and is blocked separately") {
  WaitQueue queue(2, true);
  const auto push = [&](RequestId id, const Flow& flow) {
    return queue.Push({id, flow.service, flow.tenant, flow.service_class,
                       absl::InfiniteFuture()});
  };
  CHECK(push(1, kFlows[0]));
  CHECK(push(2, kFlows[0]));
  CHECK_FALSE(push(3, kFlows[0]));
  CHECK(push(4, kFlows[2]));
  std::vector<RequestId> taken;
  queue.ServeAll([&](const WaitingRequest& waiting) {
    if (waiting.service == kFlows[0].service) {
      return WaitQueue::Offer::kBlocked;
    }
    taken.push_back(waiting.id);
    return WaitQueue::Offer::kTaken;
  });
  CHECK(taken == std::vector<RequestId>{4});
  CHECK(queue.Erase(1));
  CHECK_FALSE(queue.Erase(1));
  CHECK(queue.Length(kFlows[0].service) == 1);
}

// Guards against expired requests that stay in the queue behind a head with a
// later deadline.
TEST_CASE("expired requests are removed from any position of a queue") {
  WaitQueue queue(4, true);
  const Flow& flow = kFlows[0];
  for (const int seconds : {9, 1, 5}) {
    queue.Push({static_cast<RequestId>(seconds), flow.service, flow.tenant,
                flow.service_class, kTestStart + absl::Seconds(seconds)});
  }
  CHECK(queue.TakeExpired(kTestStart + absl::Seconds(5)) ==
        std::vector<RequestId>{1, 5});
  CHECK(queue.Length(flow.service) == 1);
}

}  // namespace
}  // namespace baobabwall::steer
