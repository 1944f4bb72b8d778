#include "gateway/src/account_quotas.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace baobabwall::gateway {
namespace internal {

bool IsRelativeChange(double from, double to, double ratio) {
  return std::abs(to - from) > ratio * std::max(from, to);
}

}  // namespace internal

AccountQuotas::AccountQuotas(std::string self,
                             int64_t incarnation,
                             uint64_t seed)
    : self_(std::move(self)), incarnation_(incarnation), random_(seed) {}

void AccountQuotas::SetAccounts(
    absl::Span<const std::shared_ptr<const ClientAccount>> accounts,
    absl::Time now) {
  absl::flat_hash_map<uint32_t, Account> next;
  for (const std::shared_ptr<const ClientAccount>& account : accounts) {
    if (!account->quota) {
      continue;
    }
    const uint32_t key = AccountKey(account->name);
    Account& entry = next[key];
    const auto known = accounts_.find(key);
    if (known != accounts_.end()) {
      entry = std::move(known->second);
    }
    entry.quota = *account->quota;
    UpdateBucket(&entry, now);
    if (known == accounts_.end() && !rules_.start_without_tokens) {
      entry.bucket.Add(entry.bucket.capacity());
    }
  }
  accounts_ = std::move(next);
}

void AccountQuotas::SetInstances(std::vector<InstanceRecord> instances,
                                 bool was_announced,
                                 absl::Time now) {
  const bool was_holder = is_holder();
  holders_.SetInstances(instances,
                        rules_.count_departed_holders ? HolderSet::kDepartedTime
                                                      : absl::ZeroDuration(),
                        now);
  if (!was_holder && is_holder()) {
    accrues_from_ = was_announced || !rules_.delay_new_holders
                        ? now
                        : now + kNewHolderDelay;
  }
  std::map<std::string, Peer, std::less<>> peers;
  for (const InstanceRecord& instance : instances) {
    if (instance.name == self_) {
      continue;
    }
    Peer& peer = peers[instance.name];
    const auto known = peers_.find(instance.name);
    if (known != peers_.end()) {
      peer = std::move(known->second);
    }
    if (peer.incarnation < instance.incarnation) {
      peer = Peer();
      peer.incarnation = instance.incarnation;
    }
    peer.endpoint = {instance.callers.address, instance.peer_port};
  }
  peers_ = std::move(peers);
  UpdatePeerHolders();
}

void AccountQuotas::UpdatePeerHolders() {
  for (auto& [name, peer] : peers_) {
    peer.is_holder = holders_.Contains(name);
  }
}

absl::Duration AccountQuotas::Scaled(absl::Duration interval) const {
  const double factor = static_cast<double>(holders_.size()) /
                        static_cast<double>(kMaxHoldersAtMinInterval);
  return interval * std::max(1.0, factor);
}

double AccountQuotas::BaseShare(absl::Time now) const {
  if (!is_holder() || now < accrues_from_) {
    return 0;
  }
  return 1 / static_cast<double>(holders_.size());
}

double AccountQuotas::Capacity(const AccountQuota& quota,
                               bool is_holder) const {
  const double accrued =
      quota.rate_per_s * absl::ToDoubleSeconds(bound_.window);
  const double beyond_rate =
      (accrued + quota.burst) * (1 + bound_.overshoot) + bound_.slack - accrued;
  const double holder_count =
      static_cast<double>(std::max<size_t>(1, holders_.size()));
  const double capacity = kHeldRatio * beyond_rate / holder_count;
  // Below one token, no request would ever be admitted.
  return std::max(1.0, is_holder ? capacity : capacity * kOtherCapacityRatio);
}

void AccountQuotas::UpdateBucket(Account* account, absl::Time now) {
  const AccountQuota& quota = account->quota;
  account->bucket.Update(quota.rate_per_s * BaseShare(now),
                         rules_.bound_tokens
                             ? Capacity(quota, is_holder())
                             : std::numeric_limits<double>::max(),
                         now);
}

AccountQuotas::Decision AccountQuotas::Admit(const ClientAccount& account,
                                             absl::Time now) {
  Decision decision;
  const auto found = accounts_.find(AccountKey(account.name));
  if (found == accounts_.end()) {
    return decision;
  }
  Account& state = found->second;
  state.arrivals.OnArrival(now);
  UpdateBucket(&state, now);
  decision.is_admitted = state.bucket.TryTake();
  decision.tokens = state.bucket.tokens();
  if (decision.is_admitted) {
    return decision;
  }
  state.refusals.OnArrival(now);
  decision.retry_after = RetryAfter(&state, now);
  for (const auto& [name, peer] : peers_) {
    const absl::Duration age = now - peer.last_received_at;
    if (age < Scaled(kMaxSilence)) {
      decision.report_age = std::max(decision.report_age, age);
    }
  }
  return decision;
}

absl::Duration AccountQuotas::RetryAfter(Account* account, absl::Time now) {
  // Callers that were refused in the last second return one after the other, as
  // fast as the quota allows.
  const double waiting = account->refusals.RatePerS(now);
  const absl::Duration spread = std::min(
      absl::Seconds(waiting / account->quota.rate_per_s), kMaxRetrySpread);
  const absl::Duration wait =
      std::min(account->bucket.TimeUntilToken(), kMaxRetryAfter);
  return std::clamp(wait + spread * random_.Unit(), kMinRetryAfter,
                    kMaxRetryAfter);
}

void AccountQuotas::ChargeAttempt(const ClientAccount& account,
                                  absl::Time now) {
  const auto found = accounts_.find(AccountKey(account.name));
  if (found != accounts_.end()) {
    UpdateBucket(&found->second, now);
    found->second.bucket.Remove(1);
  }
}

void AccountQuotas::Refund(const ClientAccount& account, absl::Time now) {
  const auto found = accounts_.find(AccountKey(account.name));
  if (found != accounts_.end()) {
    UpdateBucket(&found->second, now);
    found->second.bucket.Add(1);
  }
}

double AccountQuotas::ExpectedTokens(const ReceivedReport& report,
                                     const AccountQuota& quota,
                                     absl::Time now) const {
  const double accrual_per_s =
      quota.rate_per_s /
      static_cast<double>(std::max<size_t>(1, holders_.size()));
  // A few requests in a second are no sign of more.
  const double certain_per_s =
      report.rate_per_s - kRateDeviations * std::sqrt(report.rate_per_s);
  const double used_per_s = std::max(0.0, certain_per_s - accrual_per_s);
  const absl::Duration age =
      std::min(now - report.received_at, Scaled(kMaxExtrapolation));
  return std::max(0.0, report.tokens - used_per_s * absl::ToDoubleSeconds(age));
}

void AccountQuotas::PlanGrants(uint32_t key, Account* account, absl::Time now) {
  UpdateBucket(account, now);
  std::vector<TokenHolding> holdings = {
      {account->arrivals.RatePerS(now), account->bucket.tokens(),
       account->bucket.capacity(), is_holder()}};
  std::vector<std::pair<Peer*, ReceivedReport*>> receivers = {{}};
  for (auto& [name, peer] : peers_) {
    const auto report = peer.reports.find(key);
    if (report == peer.reports.end() ||
        now - peer.last_received_at > Scaled(kMaxSilence) ||
        now - report->second.received_at > Scaled(kMaxReportAge)) {
      continue;
    }
    const double capacity = Capacity(account->quota, peer.is_holder);
    holdings.push_back({report->second.rate_per_s,
                        ExpectedTokens(report->second, account->quota, now),
                        capacity, peer.is_holder});
    receivers.emplace_back(&peer, &report->second);
  }
  const TokenPlan plan(holdings);
  for (size_t i = 1; i < holdings.size(); ++i) {
    const auto& [peer, report] = receivers[i];
    const double tokens = plan.Grant(0, i, &random_);
    if (tokens <= 0 || tokens > account->bucket.tokens() ||
        peer->grants.size() >= QuotaMessage::kMaxEntries) {
      continue;
    }
    if (rules_.remove_given_tokens) {
      account->bucket.Remove(tokens);
    }
    peer->grants.push_back({key, tokens});
    // Until the next report, the receiver counts as having the tokens.
    report->tokens += tokens;
  }
}

bool AccountQuotas::TakesPart(absl::Time now) {
  return is_holder() ||
         std::any_of(accounts_.begin(), accounts_.end(), [now](auto& entry) {
           return entry.second.arrivals.RatePerS(now) > 0;
         });
}

std::vector<AccountReport> AccountQuotas::TakeReports(absl::Time now) {
  std::vector<AccountReport> reports;
  for (auto& [key, account] : accounts_) {
    const AccountReport report = {key, account.arrivals.RatePerS(now),
                                  std::max(0.0, account.bucket.tokens())};
    const AccountReport& last = account.last_report;
    const bool is_changed =
        std::abs(report.tokens - last.tokens) >
            kReportedTokenChange * account.bucket.capacity() ||
        internal::IsRelativeChange(last.rate_per_s, report.rate_per_s,
                                   kReportedRateChange);
    const bool is_due = now - account.reported_at >= Scaled(kRepeatInterval);
    if ((!is_changed && !is_due) ||
        reports.size() >= QuotaMessage::kMaxEntries) {
      continue;
    }
    account.last_report = report;
    account.reported_at = now;
    reports.push_back(report);
  }
  return reports;
}

std::vector<AccountQuotas::Outgoing> AccountQuotas::DueMessages(
    absl::Time now) {
  std::vector<Outgoing> messages;
  if (!is_in_use() || now - planned_at_ < Scaled(kUrgentInterval)) {
    return messages;
  }
  planned_at_ = now;
  if (holders_.OnTick(now)) {
    UpdatePeerHolders();
  }
  if (!TakesPart(now)) {
    return messages;
  }
  for (auto& [key, account] : accounts_) {
    PlanGrants(key, &account, now);
  }
  const std::vector<AccountReport> reports = TakeReports(now);
  for (auto& [name, peer] : peers_) {
    const bool is_heard = now - peer.last_received_at < Scaled(kMaxReportAge);
    const bool is_due = !reports.empty() || !peer.grants.empty() ||
                        now - peer.last_sent_at >= Scaled(kReportInterval);
    if ((!peer.is_holder && !is_heard) || !is_due) {
      continue;
    }
    peer.last_sent_at = now;
    Outgoing& outgoing = messages.emplace_back();
    outgoing.receiver = peer.endpoint;
    outgoing.message.sender = self_;
    outgoing.message.sender_incarnation = incarnation_;
    outgoing.message.sequence = ++sequence_;
    outgoing.message.reports = reports;
    outgoing.message.grants = std::exchange(peer.grants, {});
  }
  return messages;
}

bool AccountQuotas::OnMessage(const QuotaMessage& message, absl::Time now) {
  const auto found = peers_.find(message.sender);
  if (found == peers_.end()) {
    return false;
  }
  Peer& peer = found->second;
  const bool is_stale = message.sender_incarnation < peer.incarnation ||
                        (message.sender_incarnation == peer.incarnation &&
                         message.sequence <= peer.last_sequence);
  if (is_stale && rules_.drop_stale_messages) {
    return false;
  }
  peer.incarnation = message.sender_incarnation;
  peer.last_sequence = message.sequence;
  peer.last_received_at = now;
  for (const AccountReport& report : message.reports) {
    if (accounts_.find(report.account) != accounts_.end()) {
      peer.reports[report.account] = {report.rate_per_s, report.tokens, now};
    }
  }
  for (const TokenGrant& grant : message.grants) {
    const auto account = accounts_.find(grant.account);
    if (account != accounts_.end()) {
      UpdateBucket(&account->second, now);
      account->second.bucket.Add(grant.tokens);
    }
  }
  return true;
}

}  // namespace baobabwall::gateway
