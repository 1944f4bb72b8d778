#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "steer_fixture.h"

namespace baobabwall::steer {
namespace {

/// Size of each answer of a service. Placement measures the sizes in the
/// constructor of Oracle.
int64_t AnswerBytes(const std::string& service) {
  return service == "cancionero" ? 60'000 : 2'000;
}

/// \brief Runs encoded operations on Placement and checks each choice against
/// its own counts of requests in flight, moved requests and sent bytes.
class Oracle {
 public:
  explicit Oracle(const PlacementRules& rules) : placement_(7, rules) {
    snapshot_ = TestSnapshot(2);
    AddInstance(snapshot_.get(), "amba-a-2", 0.5);
    AddInstance(snapshot_.get(), "amba-b-1", 0.5);
    for (int i = 1; i <= 8; ++i) {
      AddInstance(snapshot_.get(), "cuyo-a-" + std::to_string(i), 0.5);
    }
    Publish();
    for (const char* service : {"reservas", "cancionero", "disponible"}) {
      PlacementRequest request = TestRequest(service);
      CheckChoice(request, placement_.Choose(request, now_));
      EndRequest(0, AttemptResult::kCompleted);
    }
  }

  /// \returns description of a violation; empty if there was none.
  const std::string& Run(const std::vector<uint32_t>& operations) {
    for (const uint32_t operation : operations) {
      if (!violation_.empty()) {
        break;
      }
      Execute(operation);
    }
    return violation_;
  }

 private:
  struct RunningRequest {
    PlacementRequest request;
    Target target;
    absl::Time start;
    bool did_cross_link;
  };
  struct Transfer {
    absl::Time at;
    int64_t bytes;
    bool is_bulk;
  };

  void Execute(uint32_t operation) {
    uint32_t remaining_digits = operation / 8;
    const auto next_digit = [&remaining_digits](uint32_t bound) {
      const uint32_t value = remaining_digits % bound;
      remaining_digits /= bound;
      return value;
    };
    switch (operation % 8) {
      case 0:
        now_ += absl::Milliseconds(1 + next_digit(100));
        return;
      case 1:
        ChangeSnapshot(next_digit(5), next_digit(9), next_digit(4));
        return;
      case 2:
      case 3:
        if (!running_requests_.empty()) {
          const AttemptResult result = next_digit(8) == 0
                                           ? AttemptResult::kRefused
                                           : AttemptResult::kCompleted;
          EndRequest(
              next_digit(static_cast<uint32_t>(running_requests_.size())),
              result);
        }
        return;
      default:
        PlaceRequest(next_digit(4), next_digit(4) == 0, next_digit(4) == 0);
    }
  }

  void ChangeSnapshot(uint32_t field, uint32_t index, uint32_t value) {
    BackendView& backend = snapshot_->backends[index];
    InstanceView& instance = snapshot_->instances[index];
    switch (field) {
      case 0:
        backend.slot_share = static_cast<int>(value);
        break;
      case 1:
        backend.is_leaving = value < 2;
        break;
      case 2:
        backend.ramp = value == 0 ? 0.5 : 1;
        break;
      case 3:
        instance.is_leaving = value == 0;
        instance.is_suspect = value == 1;
        break;
      default:
        snapshot_->moved_shares["cuyo-out"] = 1 + value;
    }
    Publish();
  }

  void Publish() {
    snapshot_ = std::make_shared<Snapshot>(*snapshot_);
    placement_.Publish(snapshot_, now_);
  }

  void PlaceRequest(uint32_t service, bool is_foreign, bool is_relayed) {
    PlacementRequest request = TestRequest(service == 0   ? "reservas"
                                           : service == 1 ? "disponible"
                                                          : "cancionero");
    request.home_region = is_foreign ? "cuyo" : "amba";
    request.is_relayed = is_relayed;
    request.body_bytes = service < 2 ? 1'000 : 20'000;
    // With 20 requests ahead, a request does not wait but is relayed.
    request.waiting = 20;
    CheckChoice(request, placement_.Choose(request, now_));
  }

  void CheckChoice(const PlacementRequest& request,
                   const PlacementChoice& choice) {
    const bool is_foreign = request.home_region == "cuyo";
    if (choice.type == PlacementChoice::Type::kWait && !is_foreign) {
      for (const BackendView& backend : snapshot_->backends) {
        if (backend.service == request.service &&
            placement_.InUse(backend.name) < placement_.Limit(backend.name)) {
          violation_ = "a request waits although a slot is free";
        }
      }
    }
    if (choice.type != PlacementChoice::Type::kTarget) {
      return;
    }
    const size_t transfers_before = transfers_.size();
    if (choice.target.type == Target::Type::kBackendServer) {
      CheckBackendChoice(request, choice.target.name, is_foreign);
    } else {
      CheckRelayChoice(request, choice.target.name);
    }
    running_requests_.push_back(
        {request, choice.target, now_, transfers_.size() > transfers_before});
  }

  void CheckBackendChoice(const PlacementRequest& request,
                          const std::string& name,
                          bool is_foreign) {
    for (const BackendView& backend : snapshot_->backends) {
      if (backend.name != name) {
        continue;
      }
      const int ramped_share =
          std::max(1, static_cast<int>(backend.slot_share * backend.ramp));
      if (backend.is_leaving) {
        violation_ = "a request is sent to a leaving backend server";
      }
      if (++in_flight_[name] > std::min(backend.slot_share, ramped_share)) {
        violation_ = "more requests in flight than the slot share";
      }
    }
    if (!is_foreign) {
      return;
    }
    moved_request_times_.push_back(now_);
    while (moved_request_times_.front() <= now_ - absl::Seconds(10)) {
      moved_request_times_.pop_front();
    }
    if (static_cast<int64_t>(moved_request_times_.size()) >
        snapshot_->moved_shares["cuyo-out"]) {
      violation_ = "more moved requests than the share of the cap";
    }
    if (request.is_relayed) {
      RecordTransfer(AnswerBytes(request.service),
                     request.service == "cancionero");
    }
  }

  void CheckRelayChoice(const PlacementRequest& request,
                        const std::string& name) {
    if (request.is_relayed) {
      violation_ = "a relayed request is relayed again";
    }
    for (const InstanceView& instance : snapshot_->instances) {
      if (instance.id.name != name) {
        continue;
      }
      if (instance.is_leaving || instance.is_suspect) {
        violation_ = "a request is relayed to a leaving or suspect instance";
      }
      if (instance.region != "amba") {
        RecordTransfer(request.body_bytes, request.service == "cancionero");
      }
    }
    const auto last_refusal = last_refusals_.find({name, request.service});
    if (last_refusal != last_refusals_.end() &&
        now_ < last_refusal->second + absl::Milliseconds(200)) {
      violation_ = "a request is relayed to an instance that refused recently";
    }
  }

  // Checks that in every period of time the sent bytes are at most the rate
  // times the period, plus the burst, plus one transfer. Bulk gets half of the
  // rate and of the burst.
  void RecordTransfer(int64_t bytes, bool is_bulk) {
    transfers_.push_back({now_, bytes, is_bulk});
    int64_t all = 0;
    int64_t bulk = 0;
    for (auto transfer = transfers_.rbegin(); transfer != transfers_.rend();
         ++transfer) {
      all += transfer->bytes;
      bulk += transfer->is_bulk ? transfer->bytes : 0;
      const double budget =
          static_cast<double>(kTestLinkShare) *
          absl::ToDoubleSeconds(now_ - transfer->at + TokenBucket::kBurstTime);
      if (static_cast<double>(all) > budget + 60'000) {
        violation_ = "more bytes than the share of the link";
      }
      if (static_cast<double>(bulk) > budget / 2 + 60'000) {
        violation_ = "bulk uses more than half of the link";
      }
    }
  }

  void EndRequest(size_t index, AttemptResult result) {
    const RunningRequest ended_request = running_requests_[index];
    running_requests_.erase(running_requests_.begin() +
                            static_cast<std::ptrdiff_t>(index));
    AttemptEnd end;
    end.result = result;
    end.answer_bytes = AnswerBytes(ended_request.request.service);
    placement_.Release(ended_request.target, end, absl::Milliseconds(50), now_);
    if (ended_request.target.type == Target::Type::kBackendServer) {
      --in_flight_[ended_request.target.name];
    } else if (result == AttemptResult::kRefused) {
      last_refusals_[{ended_request.target.name,
                      ended_request.request.service}] = now_;
    }
    if (result == AttemptResult::kRefused) {
      // Bytes of a refused request were not sent.
      const auto transfer = std::find_if(
          transfers_.begin(), transfers_.end(), [&](const Transfer& candidate) {
            return candidate.at == ended_request.start &&
                   ended_request.did_cross_link &&
                   candidate.is_bulk ==
                       (ended_request.request.service == "cancionero");
          });
      if (transfer != transfers_.end()) {
        transfers_.erase(transfer);
      }
    }
  }

  Placement placement_;
  std::shared_ptr<Snapshot> snapshot_;
  absl::Time now_ = kTestStart;
  std::vector<RunningRequest> running_requests_;
  std::map<std::string, int> in_flight_;
  std::deque<absl::Time> moved_request_times_;
  std::vector<Transfer> transfers_;
  std::map<std::pair<std::string, std::string>, absl::Time> last_refusals_;
  std::string violation_;
};

// Guards against exceeding the shares of slots, moved requests and bytes under
// any order of arrivals, ends and changes of the shares.
TEST_CASE("placement stays within its shares under any order of events") {
  CHECK(rc::check([](const std::vector<uint32_t>& seeds) {
    // RapidCheck prefers small numbers, so each number seeds further random
    // operations.
    std::vector<uint32_t> operations;
    for (const uint32_t seed : seeds) {
      operations.push_back(seed);
      base::Random random(seed);
      for (int i = 0; i < 20; ++i) {
        operations.push_back(static_cast<uint32_t>(random.Below(1U << 31)));
      }
    }
    RC_ASSERT(Oracle(PlacementRules()).Run(operations) == "");
  }));
}

std::string FirstViolation(const PlacementRules& rules) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    base::Random random(seed);
    std::vector<uint32_t> operations;
    for (int i = 0; i < 400; ++i) {
      operations.push_back(static_cast<uint32_t>(random.Below(1U << 31)));
    }
    std::string violation = Oracle(rules).Run(operations);
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

// Guards against an oracle that does not detect a missing rule.
TEST_CASE("the placement oracle detects each disabled rule") {
  CHECK(FirstViolation(PlacementRules()) == "");
  const std::vector<std::pair<bool PlacementRules::*, std::string>> mutants = {
      {&PlacementRules::limits_slots,
       "more requests in flight than the slot share"},
      {&PlacementRules::ramps_cold,
       "more requests in flight than the slot share"},
      {&PlacementRules::skips_leaving_servers,
       "a request is sent to a leaving backend server"},
      {&PlacementRules::caps_moved,
       "more moved requests than the share of the cap"},
      {&PlacementRules::budgets_links, "the link"},
      {&PlacementRules::limits_bulk_to_half,
       "bulk uses more than half of the link"},
      {&PlacementRules::backs_off_after_refusal,
       "a request is relayed to an instance that refused recently"},
  };
  for (const auto& [rule, violation] : mutants) {
    PlacementRules rules;
    rules.*rule = false;
    CHECK_THAT(FirstViolation(rules), Catch::Contains(violation));
  }
}

}  // namespace
}  // namespace baobabwall::steer
