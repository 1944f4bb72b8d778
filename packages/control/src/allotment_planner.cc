#include "control/src/allotment_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace baobabwall::control {
namespace internal {

// A holder whose utilisation lies between these bounds neither receives nor
// gives up units because of its load, so small load changes move no units.
constexpr double kMinBusyUtilisation = 0.85;
constexpr double kMaxIdleUtilisation = 0.5;

using ShareByHolder = std::map<std::string, AllotmentShare, std::less<>>;

/// \brief Computes the next table from the current table and the inputs of the
/// plan.
class AllotmentPlanner {
 public:
  AllotmentPlanner(const AllotmentTable& current,
                   const PlanInput& input,
                   const PlannerRules& rules)
      : current_(current), input_(input), rules_(rules), next_(current) {
    next_.epoch = current.epoch + 1;
    next_.config_revision =
        std::max(current.config_revision, input.config_revision);
    next_.split_epoch = std::max(current.split_epoch, input.split_epoch);
  }

  AllotmentPlan Run() {
    for (auto& [key, total] : next_.totals) {
      ReleaseReservations(key, &total);
      LowerTargets(key, &total);
    }
    for (const auto& [holder, plan_holder] : input_.holders) {
      if (plan_holder.status != HolderStatus::kEligible) {
        continue;
      }
      Candidate candidate;
      candidate.name = &holder;
      candidate.plan_holder = &plan_holder;
      candidate.tie_breaker = base::StableHash(holder);
      candidate_index_by_holder_[holder] = candidates_.size();
      candidates_.push_back(std::move(candidate));
    }
    std::map<std::string, std::vector<std::string>> keys_by_service;
    for (const auto& [key, plan_total] : input_.totals) {
      next_.totals[key];
      if (plan_total.service.empty()) {
        DivideEvenly(key, plan_total);
      } else {
        keys_by_service[plan_total.service].push_back(key);
      }
    }
    for (const auto& [service, keys] : keys_by_service) {
      ServiceBalancer(this, service, keys).Run();
    }
    return FinishPlan();
  }

 private:
  /// \brief An eligible holder and its units of one service.
  struct Candidate {
    const std::string* name = nullptr;
    const PlanHolder* plan_holder = nullptr;
    int64_t unit_count = 0;  ///< Units of this service.
    /// Number of units of other services that the holder has in this plan. Only
    /// services that the plan has already balanced are counted.
    int64_t other_services_unit_count = 0;
    uint64_t tie_breaker = 0;
    bool is_busy = false;
    bool is_idle = false;
    bool is_modified = false;
    /// Desired target for each key of the service, in the order of the keys.
    std::vector<int64_t> desired_targets;
  };

  /// \brief Balances the slots of one service across holders and backend
  /// servers.
  class ServiceBalancer {
   public:
    ServiceBalancer(AllotmentPlanner* planner,
                    const std::string& service,
                    const std::vector<std::string>& keys)
        : planner_(planner), keys_(keys), candidates_(planner->candidates_) {
      const uint64_t service_hash = base::StableHash(service);
      for (Candidate& candidate : candidates_) {
        candidate.tie_breaker ^= service_hash;
        candidate.desired_targets.assign(keys.size(), 0);
        const auto observed = candidate.plan_holder->utilisation.find(service);
        if (observed != candidate.plan_holder->utilisation.end()) {
          candidate.is_busy = observed->second >= kMinBusyUtilisation;
          candidate.is_idle = observed->second <= kMaxIdleUtilisation;
        }
      }
      for (size_t i = 0; i < keys.size(); ++i) {
        for (const auto& [holder, share] :
             planner->next_.totals.at(keys[i]).shares) {
          const auto index = planner->candidate_index_by_holder_.find(holder);
          if (index != planner->candidate_index_by_holder_.end()) {
            candidates_[index->second].desired_targets[i] = share.target;
            candidates_[index->second].unit_count += share.target;
          }
        }
      }
    }

    void Run() {
      if (candidates_.empty()) {
        return;
      }
      int64_t total_units = 0;
      for (size_t i = 0; i < keys_.size(); ++i) {
        const int64_t total = planner_->input_.totals.at(keys_[i]).total;
        int64_t unassigned =
            total - planner_->next_.totals.at(keys_[i]).TargetSum();
        total_units += total;
        for (; unassigned > 0; --unassigned) {
          AddUnit(NextReceiver(i), i);
        }
      }
      const auto holder_count = static_cast<int64_t>(candidates_.size());
      min_units_per_holder_ =
          std::max<int64_t>(1, total_units / holder_count / 2);
      max_units_per_holder_ =
          2 * ((total_units + holder_count - 1) / holder_count);
      // Each move lowers the spread, so the number of units bounds the loop.
      for (int64_t i = 0; i < total_units && BalanceOneUnit(); ++i) {
      }
      if (planner_->input_.rebalance_by_load) {
        MoveUnitsToBusyHolders();
      }
      for (size_t i = 0; i < keys_.size(); ++i) {
        std::map<absl::string_view, int64_t> changed_targets;
        for (const Candidate& candidate : candidates_) {
          const AllotmentShare* share =
              candidate.is_modified
                  ? planner_->next_.Find(keys_[i], *candidate.name)
                  : nullptr;
          const int64_t target = share == nullptr ? 0 : share->target;
          if (candidate.is_modified && candidate.desired_targets[i] != target) {
            changed_targets[*candidate.name] = candidate.desired_targets[i];
          }
        }
        if (!changed_targets.empty()) {
          planner_->ApplyTargets(keys_[i], changed_targets);
        }
      }
      for (size_t i = 0; i < candidates_.size(); ++i) {
        planner_->candidates_[i].other_services_unit_count +=
            candidates_[i].unit_count;
      }
    }

   private:
    void AddUnit(Candidate* candidate, size_t key) {
      ++candidate->desired_targets[key];
      ++candidate->unit_count;
      candidate->is_modified = true;
    }

    void RemoveUnit(Candidate* candidate, size_t key) {
      --candidate->desired_targets[key];
      --candidate->unit_count;
      candidate->is_modified = true;
    }

    Candidate* NextReceiver(size_t key) {
      return &*std::min_element(
          candidates_.begin(), candidates_.end(),
          [key](const Candidate& a, const Candidate& b) {
            return std::tie(a.unit_count, a.desired_targets[key],
                            a.other_services_unit_count, a.tie_breaker) <
                   std::tie(b.unit_count, b.desired_targets[key],
                            b.other_services_unit_count, b.tie_breaker);
          });
    }

    /// \brief Moves one unit from `from` to `to`. The unit belongs to the
    /// backend server for which the difference between the units of `from` and
    /// `to` is largest.
    void MoveUnit(Candidate* from, Candidate* to) {
      size_t best_server_index = keys_.size();
      for (size_t i = 0; i < keys_.size(); ++i) {
        if (from->desired_targets[i] == 0) {
          continue;
        }
        if (best_server_index == keys_.size() ||
            from->desired_targets[i] - to->desired_targets[i] >
                from->desired_targets[best_server_index] -
                    to->desired_targets[best_server_index]) {
          best_server_index = i;
        }
      }
      RemoveUnit(from, best_server_index);
      AddUnit(to, best_server_index);
    }

    bool BalanceOneUnit() {
      const auto [least_assigned, most_assigned] = std::minmax_element(
          candidates_.begin(), candidates_.end(),
          [](const Candidate& a, const Candidate& b) {
            return std::tie(a.unit_count, a.other_services_unit_count,
                            a.tie_breaker) <
                   std::tie(b.unit_count, b.other_services_unit_count,
                            b.tie_breaker);
          });
      if (most_assigned->unit_count - least_assigned->unit_count < 2) {
        return false;
      }
      // An uneven division is kept if it matches the load.
      if (least_assigned->unit_count >= min_units_per_holder_ &&
          most_assigned->unit_count <= max_units_per_holder_ &&
          ((most_assigned->is_busy && !least_assigned->is_busy) ||
           (least_assigned->is_idle && !most_assigned->is_idle))) {
        return false;
      }
      MoveUnit(&*most_assigned, &*least_assigned);
      return true;
    }

    void MoveUnitsToBusyHolders() {
      for (Candidate& busy_candidate : candidates_) {
        if (!busy_candidate.is_busy || busy_candidate.unit_count == 0 ||
            busy_candidate.unit_count >= max_units_per_holder_) {
          continue;
        }
        Candidate* donor = nullptr;
        for (Candidate& candidate : candidates_) {
          if (candidate.is_idle &&
              candidate.unit_count > min_units_per_holder_ &&
              (donor == nullptr || candidate.unit_count > donor->unit_count)) {
            donor = &candidate;
          }
        }
        if (donor == nullptr) {
          return;
        }
        MoveUnit(donor, &busy_candidate);
      }
    }

    AllotmentPlanner* planner_;
    const std::vector<std::string>& keys_;
    std::vector<Candidate> candidates_;
    int64_t min_units_per_holder_ = 1;
    int64_t max_units_per_holder_ = 1;
  };

  HolderStatus StatusOf(absl::string_view holder) const {
    const auto found = input_.holders.find(holder);
    return found == input_.holders.end() ? HolderStatus::kLeaving
                                         : found->second.status;
  }

  void LowerTarget(AllotmentShare* share, int64_t target) {
    if (target >= share->target) {
      return;
    }
    share->target = target;
    share->last_lowered_epoch = next_.epoch;
    if (!rules_.grow_after_acknowledgement) {
      share->reserved = target;
    }
  }

  /// \brief Lowers the reserved amount of holders whose use is known to be
  /// within the target.
  void ReleaseReservations(const std::string& key, AllotmentTotal* total) {
    for (auto& [holder, share] : total->shares) {
      if (input_.is_expired && input_.is_expired(holder, key)) {
        share = {};
        continue;
      }
      if (share.reserved > share.target && input_.is_acknowledged &&
          input_.is_acknowledged(holder, key, share)) {
        share.reserved = share.target;
      }
    }
  }

  /// \brief Lowers the targets of leaving holders. If a total was lowered, all
  /// targets of this total are lowered too.
  void LowerTargets(const std::string& key, AllotmentTotal* total) {
    const auto plan_total = input_.totals.find(key);
    const int64_t declared_total = plan_total == input_.totals.end()
                                       ? 0
                                       : plan_total->second.declared_total;
    for (auto& [holder, share] : total->shares) {
      if (StatusOf(holder) == HolderStatus::kLeaving || declared_total == 0) {
        LowerTarget(&share, 0);
        continue;
      }
      // Holders that have the lower total already limit their use to this part
      // of the old target. A larger target could let the sum exceed the lower
      // total while other holders still apply the old table.
      if (rules_.scale_lowered_totals &&
          declared_total < total->declared_total) {
        LowerTarget(&share, ScaleShare(share.target, declared_total,
                                       total->declared_total));
      }
    }
  }

  void DivideEvenly(const std::string& key, const PlanTotal& plan_total) {
    std::map<absl::string_view, int64_t> shares;
    for (const auto& [holder, quota] : plan_total.quotas) {
      shares[holder] = quota;
    }
    if (plan_total.quotas.empty()) {
      int64_t remaining = plan_total.total;
      std::vector<std::tuple<int64_t, uint64_t, absl::string_view>>
          remainder_order;
      for (const auto& [holder, plan_holder] : input_.holders) {
        const AllotmentShare* share = next_.Find(key, holder);
        const int64_t target = share == nullptr ? 0 : share->target;
        if (plan_holder.status == HolderStatus::kFrozen) {
          remaining -= target;
        } else if (plan_holder.status == HolderStatus::kEligible) {
          remainder_order.emplace_back(
              -target, base::StableHash(absl::StrCat(key, "|", holder)),
              holder);
        }
      }
      // The holders with the largest targets keep the remainder, so that fewer
      // units move.
      std::sort(remainder_order.begin(), remainder_order.end());
      remaining = std::max<int64_t>(remaining, 0);
      const auto eligible_count = static_cast<int64_t>(remainder_order.size());
      for (int64_t i = 0; i < eligible_count; ++i) {
        shares[std::get<2>(remainder_order[i])] =
            remaining / eligible_count +
            (i < remaining % eligible_count ? 1 : 0);
      }
    } else {
      for (const auto& [holder, share] : next_.totals.at(key).shares) {
        shares.emplace(holder, 0);
      }
    }
    ApplyTargets(key, shares);
  }

  /// \brief Sets targets. Lowered targets are applied first; raised targets are
  /// limited to the amount that is not reserved.
  void ApplyTargets(const std::string& key,
                    const std::map<absl::string_view, int64_t>& targets) {
    AllotmentTotal& total = next_.totals.at(key);
    for (const auto& [holder, target] : targets) {
      const auto share = total.shares.find(holder);
      if (share != total.shares.end()) {
        LowerTarget(&share->second, target);
      }
    }
    int64_t unreserved = input_.totals.at(key).total - total.ReservedSum();
    if (unreserved < 0 && rules_.grow_within_total) {
      // The total was lowered. A holder that still has the old table uses its
      // scaled share. Therefore no target grows until the sum of the reserved
      // amounts is within the new total.
      return;
    }
    for (const auto& [holder, target] : targets) {
      if (target == 0) {
        continue;
      }
      AllotmentShare& share =
          total.shares.try_emplace(std::string(holder)).first->second;
      if (target <= share.target) {
        continue;
      }
      int64_t new_target = std::min(target, share.reserved + unreserved);
      if (!rules_.grow_within_total) {
        new_target = target;
      }
      if (new_target <= share.target) {
        continue;
      }
      share.target = new_target;
      unreserved -= std::max<int64_t>(0, new_target - share.reserved);
      share.reserved = std::max(share.reserved, new_target);
    }
  }

  AllotmentPlan FinishPlan() {
    AllotmentPlan plan;
    for (auto total = next_.totals.begin(); total != next_.totals.end();) {
      ShareByHolder& shares = total->second.shares;
      for (auto share = shares.begin(); share != shares.end();) {
        plan.has_pending_release =
            plan.has_pending_release ||
            share->second.reserved > share->second.target;
        share = share->second.reserved == 0 ? shares.erase(share) : ++share;
      }
      const auto plan_total = input_.totals.find(total->first);
      if (plan_total == input_.totals.end() && shares.empty()) {
        total = next_.totals.erase(total);
        continue;
      }
      const int64_t planned_total =
          plan_total == input_.totals.end() ? 0 : plan_total->second.total;
      total->second.declared_total = plan_total == input_.totals.end()
                                         ? 0
                                         : plan_total->second.declared_total;
      total->second.total =
          std::max(planned_total, total->second.ReservedSum());
      ++total;
    }
    for (auto it = next_.confirmations.begin();
         it != next_.confirmations.end();) {
      it = next_.HasReservation(it->first) ? ++it
                                           : next_.confirmations.erase(it);
    }
    plan.is_write_needed = HasChanges();
    plan.table = std::move(next_);
    return plan;
  }

  bool HasChanges() const {
    if (next_.totals.size() != current_.totals.size()) {
      return true;
    }
    for (const auto& [key, total] : next_.totals) {
      const auto previous = current_.totals.find(key);
      if (previous == current_.totals.end() ||
          previous->second.total != total.total ||
          previous->second.declared_total != total.declared_total) {
        return true;
      }
      for (const auto& [holder, share] : total.shares) {
        const AllotmentShare* previous_share = current_.Find(key, holder);
        if (previous_share == nullptr ||
            previous_share->target != share.target ||
            (input_.write_on_release &&
             previous_share->reserved != share.reserved)) {
          return true;
        }
      }
      for (const auto& [holder, share] : previous->second.shares) {
        const bool is_removed = total.shares.count(holder) == 0;
        if (is_removed && (share.target > 0 || input_.write_on_release)) {
          return true;
        }
      }
    }
    return false;
  }

  const AllotmentTable& current_;
  const PlanInput& input_;
  const PlannerRules& rules_;
  AllotmentTable next_;
  std::vector<Candidate> candidates_;
  std::map<absl::string_view, size_t> candidate_index_by_holder_;
};

}  // namespace internal

AllotmentPlan PlanAllotments(const AllotmentTable& current,
                             const PlanInput& input,
                             const PlannerRules& rules) {
  return internal::AllotmentPlanner(current, input, rules).Run();
}

}  // namespace baobabwall::control
