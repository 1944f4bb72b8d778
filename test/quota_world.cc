#include "quota_world.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {

QuotaWorld::QuotaWorld(const Options& options)
    : options_(options), random_(options.seed) {}

size_t QuotaWorld::AddInstance(const std::string& zone, double cpu_share) {
  const size_t index = instances_.size();
  Instance& instance = instances_.emplace_back();
  instance.record.name = absl::StrCat("i", index);
  instance.record.zone = zone;
  instance.record.region = zone.substr(0, 1);
  instance.record.callers = {instance.record.name, 80};
  instance.record.incarnation = 1;
  instance.record.cpu_share = cpu_share;
  index_[instance.record.name] = index;
  return index;
}

size_t QuotaWorld::AddAccount(double rate_per_s, double burst) {
  auto account = std::make_shared<ClientAccount>();
  account->name = absl::StrCat("account-", accounts_.size());
  account->quota = AccountQuota{rate_per_s, burst};
  Account& entry = accounts_.emplace_back();
  entry.bound = Bound(*account->quota);
  entry.reference_tokens = burst;
  entry.reference_at = now_;
  entry.account = std::move(account);
  return accounts_.size() - 1;
}

double QuotaWorld::Bound(const AccountQuota& quota) const {
  return (quota.rate_per_s * absl::ToDoubleSeconds(bound_.window) +
          quota.burst) *
             (1 + bound_.overshoot) +
         bound_.slack;
}

std::vector<std::shared_ptr<const ClientAccount>> QuotaWorld::AccountList()
    const {
  std::vector<std::shared_ptr<const ClientAccount>> list;
  for (const Account& account : accounts_) {
    list.push_back(account.account);
  }
  return list;
}

void QuotaWorld::Start() {
  for (const Instance& instance : instances_) {
    records_[instance.record.name] = instance.record;
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    Launch(i);
  }
}

void QuotaWorld::Launch(size_t i) {
  Instance& instance = instances_[i];
  ++instance.life;
  instance.held_back.clear();
  instance.frozen_until = absl::InfinitePast();
  instance.quotas = std::make_unique<AccountQuotas>(instance.record.name,
                                                    instance.record.incarnation,
                                                    options_.seed * 1000 + i);
  instance.quotas->SetRules(options_.rules);
  instance.quotas->SetBound(bound_);
  instance.quotas->SetAccounts(AccountList(), now_);
  instance.view = records_;
  const auto earlier = instance.view.find(instance.record.name);
  const bool was_announced =
      earlier != instance.view.end() &&
      earlier->second.incarnation < instance.record.incarnation;
  ApplyView(i, was_announced);
}

void QuotaWorld::ApplyView(size_t i, bool was_announced) {
  Instance& instance = instances_[i];
  std::vector<InstanceRecord> records;
  for (const auto& [name, record] : instance.view) {
    if (name != instance.record.name) {
      records.push_back(record);
    }
  }
  records.push_back(instance.record);
  instance.quotas->SetInstances(std::move(records), was_announced, now_);
}

void QuotaWorld::At(absl::Time when, std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

void QuotaWorld::Deliver(size_t i,
                         absl::Duration delay,
                         std::function<void()> event) {
  const int64_t life = instances_[i].life;
  At(now_ + delay, [this, i, life, event = std::move(event)] {
    Instance& instance = instances_[i];
    if (instance.life != life || instance.quotas == nullptr) {
      return;
    }
    if (now_ < instance.frozen_until) {
      instance.held_back.push_back(event);
    } else {
      event();
    }
  });
}

absl::Duration QuotaWorld::ViewDelay(size_t i) {
  // Changes of the store reach an instance in the order of their revisions.
  absl::Time& delivered_at = instances_[i].last_change_at;
  delivered_at =
      std::max(delivered_at, now_ + options_.max_view_delay * random_.Unit());
  return delivered_at - now_;
}

void QuotaWorld::Publish(const InstanceRecord& record, bool is_present) {
  if (is_present) {
    records_[record.name] = record;
  } else {
    records_.erase(record.name);
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    // An instance that is cut off from the store keeps its records.
    if (instances_[i].quotas == nullptr ||
        (is_cut_ && instances_[i].is_cut_off)) {
      continue;
    }
    Deliver(i, ViewDelay(i), [this, i, record, is_present] {
      Instance& instance = instances_[i];
      if (is_present) {
        InstanceRecord& known = instance.view[record.name];
        if (known.incarnation <= record.incarnation) {
          known = record;
        }
      } else {
        const auto known = instance.view.find(record.name);
        if (known == instance.view.end() ||
            known->second.incarnation > record.incarnation) {
          return;
        }
        instance.view.erase(known);
      }
      ApplyView(i, false);
    });
  }
}

void QuotaWorld::Kill(size_t i) {
  Instance& instance = instances_[i];
  if (instance.quotas == nullptr) {
    return;
  }
  instance.quotas.reset();
  At(now_ + options_.lease * (0.7 + 0.3 * random_.Unit()),
     [this, record = instance.record] {
       const auto known = records_.find(record.name);
       if (known != records_.end() &&
           known->second.incarnation == record.incarnation) {
         Publish(record, false);
       }
     });
}

void QuotaWorld::Leave(size_t i) {
  Kill(i);
  if (records_.count(instances_[i].record.name) > 0) {
    Publish(instances_[i].record, false);
  }
}

void QuotaWorld::Restart(size_t i) {
  if (instances_[i].quotas != nullptr) {
    return;
  }
  ++instances_[i].record.incarnation;
  Launch(i);
  Publish(instances_[i].record, true);
}

void QuotaWorld::Freeze(size_t i, absl::Duration duration) {
  Instance& instance = instances_[i];
  if (instance.quotas == nullptr || now_ < instance.frozen_until) {
    return;
  }
  instance.frozen_until = now_ + duration;
  At(instance.frozen_until, [this, i, life = instance.life] {
    Instance& woken = instances_[i];
    if (woken.life != life || woken.quotas == nullptr) {
      return;
    }
    for (const auto& event : std::exchange(woken.held_back, {})) {
      event();
    }
  });
}

void QuotaWorld::Cut(std::function<bool(size_t)> is_cut_off,
                     bool both_directions) {
  // Instances that are no longer cut off read what they have missed.
  Heal();
  is_cut_ = true;
  is_cut_in_both_directions_ = both_directions;
  const int64_t cut = ++cut_count_;
  for (size_t i = 0; i < instances_.size(); ++i) {
    instances_[i].is_cut_off = is_cut_off(i);
    if (!instances_[i].is_cut_off) {
      continue;
    }
    At(now_ + options_.lease * (0.7 + 0.3 * random_.Unit()), [this, i, cut] {
      if (is_cut_ && cut_count_ == cut &&
          records_.count(instances_[i].record.name) > 0) {
        Publish(instances_[i].record, false);
      }
    });
  }
}

void QuotaWorld::Heal() {
  if (!is_cut_) {
    return;
  }
  is_cut_ = false;
  for (size_t i = 0; i < instances_.size(); ++i) {
    Instance& instance = instances_[i];
    if (!std::exchange(instance.is_cut_off, false) ||
        instance.quotas == nullptr) {
      continue;
    }
    Deliver(i, ViewDelay(i), [this, i] {
      instances_[i].view = records_;
      ApplyView(i, false);
    });
    if (records_.count(instance.record.name) == 0) {
      Publish(instance.record, true);
    }
  }
}

bool QuotaWorld::IsLinkUp(size_t from, size_t to) const {
  if (!is_cut_ || instances_[from].is_cut_off == instances_[to].is_cut_off) {
    return true;
  }
  return !is_cut_in_both_directions_ && instances_[to].is_cut_off;
}

void QuotaWorld::SendMessages(size_t from) {
  for (const AccountQuotas::Outgoing& outgoing :
       instances_[from].quotas->DueMessages(now_)) {
    if (counts_bytes_) {
      message_bytes_ += static_cast<int64_t>(outgoing.message.Encode().size());
    }
    const size_t to = index_.at(outgoing.receiver.address);
    int copies = random_.Unit() < options_.loss ? 0 : 1;
    copies += random_.Unit() < options_.repetition ? 1 : 0;
    if (!IsLinkUp(from, to)) {
      copies = 0;
    }
    for (int i = 0; i < copies; ++i) {
      const absl::Duration delay =
          options_.min_delay +
          (options_.max_delay - options_.min_delay) * random_.Unit();
      Deliver(to, delay, [this, to, message = outgoing.message] {
        instances_[to].quotas->OnMessage(message, now_);
      });
    }
  }
}

bool QuotaWorld::is_holder(size_t i) const {
  return is_up(i) && instances_[i].quotas->is_holder();
}

bool QuotaWorld::Request(size_t account, size_t i) {
  Account& entry = accounts_[account];
  const AccountQuota& quota = *entry.account->quota;
  entry.reference_tokens = std::min(
      quota.burst,
      entry.reference_tokens +
          quota.rate_per_s * absl::ToDoubleSeconds(now_ - entry.reference_at));
  entry.reference_at = now_;
  const bool is_inside = entry.reference_tokens >= 1;
  entry.reference_tokens -= is_inside ? 1 : 0;
  const bool is_admitted =
      instances_[i].quotas->Admit(*entry.account, now_).is_admitted;
  ++entry.count.offered;
  entry.count.refused += is_admitted ? 0 : 1;
  entry.count.inside += is_inside ? 1 : 0;
  entry.count.refused_inside += is_inside && !is_admitted ? 1 : 0;
  if (is_admitted) {
    RecordRun(&entry);
  }
  return is_admitted;
}

void QuotaWorld::RecordRun(Account* account) {
  std::deque<absl::Time>& runs = account->runs;
  runs.push_back(now_);
  while (runs.front() <= now_ - bound_.window) {
    runs.pop_front();
  }
  const double use = static_cast<double>(runs.size()) / account->bound;
  max_use_ = std::max(max_use_, use);
  if (use > 1 && violation_.empty()) {
    violation_ = absl::StrCat(
        account->account->name, " ran ", runs.size(), " requests, bound ",
        account->bound, " at ",
        absl::ToInt64Milliseconds(now_ - absl::UnixEpoch() - absl::Hours(1)),
        " ms");
  }
}

void QuotaWorld::RequestWithoutRun(size_t account, size_t i) {
  const auto entry = accounts_[account].account;
  if (!instances_[i].quotas->Admit(*entry, now_).is_admitted) {
    return;
  }
  Deliver(i, absl::Milliseconds(100) * random_.Unit(),
          [this, i, entry] { instances_[i].quotas->Refund(*entry, now_); });
}

void QuotaWorld::FurtherAttempt(size_t account, size_t i) {
  instances_[i].quotas->ChargeAttempt(*accounts_[account].account, now_);
}

void QuotaWorld::SetQuota(size_t account, double rate_per_s, double burst) {
  Account& entry = accounts_[account];
  auto changed = std::make_shared<ClientAccount>(*entry.account);
  changed->quota = AccountQuota{rate_per_s, burst};
  entry.account = changed;
  const double bound = Bound(*changed->quota);
  entry.bound = std::max(entry.bound, bound);
  // A lower limit binds one window after all instances have it.
  At(now_ + options_.max_view_delay + bound_.window, [this, account, changed] {
    if (accounts_[account].account == changed) {
      accounts_[account].bound = Bound(*changed->quota);
    }
  });
  for (size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].quotas != nullptr) {
      const auto list = AccountList();
      Deliver(i, ViewDelay(i), [this, i, list] {
        instances_[i].quotas->SetAccounts(list, now_);
      });
    }
  }
}

void QuotaWorld::ResetCounts() {
  for (Account& account : accounts_) {
    account.count = {};
    account.reference_tokens = account.account->quota->burst;
    account.reference_at = now_;
  }
  message_bytes_ = 0;
}

void QuotaWorld::Step() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const std::function<void()> event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  const int64_t step = (now_ - absl::UnixEpoch()) / kStep;
  const int64_t steps_per_tick = kTickInterval / kStep;
  for (size_t i = 0; i < instances_.size(); ++i) {
    if ((step + static_cast<int64_t>(i)) % steps_per_tick == 0 && is_up(i)) {
      SendMessages(i);
    }
  }
}

}  // namespace baobabwall::gateway
