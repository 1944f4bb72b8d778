#include "steer/src/wait_queue.h"

#include <algorithm>
#include <utility>

namespace baobabwall::steer {
namespace internal {

/// \brief Finds the first entry after `last`, in cyclic key order, that
/// satisfies the predicate.
template <typename Map, typename Predicate>
typename Map::iterator NextInCyclicOrder(Map* map,
                                         const std::string& last,
                                         const Predicate& predicate) {
  auto entry = map->upper_bound(last);
  for (size_t i = 0; i < map->size(); ++i, ++entry) {
    if (entry == map->end()) {
      entry = map->begin();
    }
    if (predicate(entry->second)) {
      return entry;
    }
  }
  return map->end();
}

}  // namespace internal

WaitQueue::WaitQueue(size_t length, bool is_fair)
    : max_length_(length), is_fair_(is_fair) {}

int WaitQueue::Weight(model::ServiceClass service_class) {
  switch (service_class) {
    case model::ServiceClass::kInteractive:
      return 4;
    case model::ServiceClass::kTransactional:
      return 8;
    case model::ServiceClass::kBulk:
      return 1;
  }
  return 1;
}

WaitQueue::Flow* WaitQueue::Find(absl::string_view service) {
  return const_cast<Flow*>(std::as_const(*this).Find(service));
}

const WaitQueue::Flow* WaitQueue::Find(absl::string_view service) const {
  for (const auto& [service_class, queue] : classes_) {
    for (const auto& [tenant, tenant_queue] : queue.tenants) {
      const auto flow = tenant_queue.flows.find(service);
      if (flow != tenant_queue.flows.end()) {
        return &flow->second;
      }
    }
  }
  return nullptr;
}

size_t WaitQueue::Length(absl::string_view service) const {
  const Flow* flow = Find(service);
  return flow == nullptr ? 0 : flow->waiting.size();
}

bool WaitQueue::Push(WaitingRequest request) {
  // If the class or tenant of a service changes, the service keeps its flow
  // until the flow is empty, so that the length limit and the arrival order
  // still apply.
  Flow* flow = Find(request.service);
  if (flow == nullptr) {
    flow = &classes_[request.service_class]
                .tenants[request.tenant]
                .flows[request.service];
  }
  if (flow->waiting.size() >= max_length_) {
    return false;
  }
  flow->waiting.push_back(std::move(request));
  return true;
}

bool WaitQueue::Erase(RequestId id) {
  for (auto& [service_class, queue] : classes_) {
    for (auto& [tenant, tenant_queue] : queue.tenants) {
      for (auto& [service, flow] : tenant_queue.flows) {
        const auto found = std::find_if(
            flow.waiting.begin(), flow.waiting.end(),
            [id](const WaitingRequest& waiting) { return waiting.id == id; });
        if (found != flow.waiting.end()) {
          flow.waiting.erase(found);
          return true;
        }
      }
    }
  }
  return false;
}

void WaitQueue::Serve(
    absl::string_view service,
    const std::function<Offer(const WaitingRequest&)>& offer) {
  Flow* flow = Find(service);
  while (flow != nullptr && !flow->waiting.empty()) {
    if (offer(flow->waiting.front()) == Offer::kBlocked) {
      return;
    }
    flow->waiting.pop_front();
  }
}

WaitQueue::Turn WaitQueue::NextTurn(ClassQueue* queue) {
  const auto can_serve = [](const Flow& flow) {
    return !flow.is_blocked && !flow.waiting.empty();
  };
  const auto tenant = internal::NextInCyclicOrder(
      &queue->tenants, queue->last_tenant, [&](const TenantQueue& candidate) {
        return std::any_of(
            candidate.flows.begin(), candidate.flows.end(),
            [&](const auto& entry) { return can_serve(entry.second); });
      });
  if (tenant == queue->tenants.end()) {
    return {};
  }
  const auto flow = internal::NextInCyclicOrder(
      &tenant->second.flows, tenant->second.last_service, can_serve);
  return {queue, &tenant->second, &flow->second, tenant->first, flow->first};
}

WaitQueue::Turn WaitQueue::NextTurn() {
  // The deficit is kept between calls: a class whose turn was interrupted by
  // a lack of slots continues its turn at the next call.
  for (auto& [service_class, queue] : classes_) {
    Turn turn = queue.deficit > 0 ? NextTurn(&queue) : Turn();
    if (turn.flow != nullptr) {
      return turn;
    }
  }
  Turn first;
  for (auto& [service_class, queue] : classes_) {
    Turn turn = NextTurn(&queue);
    if (turn.flow == nullptr) {
      continue;
    }
    deficits_before_round_.emplace(&queue, queue.deficit);
    queue.deficit = Weight(service_class);
    first = first.flow == nullptr ? turn : first;
  }
  return first;
}

void WaitQueue::ServeByArrival(
    const std::function<Offer(const WaitingRequest&)>& offer) {
  while (true) {
    Flow* oldest = nullptr;
    for (auto& [service_class, queue] : classes_) {
      for (auto& [tenant, tenant_queue] : queue.tenants) {
        for (auto& [service, flow] : tenant_queue.flows) {
          if (!flow.waiting.empty() &&
              (oldest == nullptr ||
               flow.waiting.front().id < oldest->waiting.front().id)) {
            oldest = &flow;
          }
        }
      }
    }
    if (oldest == nullptr ||
        offer(oldest->waiting.front()) == Offer::kBlocked) {
      return;
    }
    oldest->waiting.pop_front();
  }
}

void WaitQueue::ServeAll(
    const std::function<Offer(const WaitingRequest&)>& offer) {
  if (!is_fair_) {
    ServeByArrival(offer);
    return;
  }
  for (auto& [service_class, queue] : classes_) {
    for (auto& [tenant, tenant_queue] : queue.tenants) {
      for (auto& [service, flow] : tenant_queue.flows) {
        flow.is_blocked = false;
      }
    }
  }
  for (Turn turn = NextTurn(); turn.flow != nullptr; turn = NextTurn()) {
    if (offer(turn.flow->waiting.front()) == Offer::kBlocked) {
      turn.flow->is_blocked = true;
      continue;
    }
    deficits_before_round_.clear();
    turn.flow->waiting.pop_front();
    --turn.queue->deficit;
    turn.queue->last_tenant = turn.tenant_name;
    turn.tenant->last_service = turn.service;
  }
  // If no request was taken in the current round, the round is undone.
  // Otherwise a class could get a second turn before other classes get their
  // first turn.
  for (const auto& [queue, deficit] : deficits_before_round_) {
    queue->deficit = deficit;
  }
  deficits_before_round_.clear();
}

std::vector<RequestId> WaitQueue::TakeExpired(absl::Time now) {
  std::vector<RequestId> expired;
  for (auto& [service_class, queue] : classes_) {
    for (auto& [tenant, tenant_queue] : queue.tenants) {
      for (auto& [service, flow] : tenant_queue.flows) {
        for (auto item = flow.waiting.begin(); item != flow.waiting.end();) {
          if (item->deadline > now) {
            ++item;
            continue;
          }
          expired.push_back(item->id);
          item = flow.waiting.erase(item);
        }
      }
    }
  }
  return expired;
}

}  // namespace baobabwall::steer
