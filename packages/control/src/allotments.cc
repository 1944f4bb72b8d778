#include "control/src/allotments.h"

#include <algorithm>
#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/base.h"
#include "control/src/pause_detector.h"
#include "control/src/reader_rank.h"

namespace baobabwall::control {
namespace internal {

// Only the readers of a zone read its table and send the table to the other
// instances. A watch by each of 800 instances would keep 800 store calls open.
// A reader that wrote the table reads it back and sends it, so the regular read
// only covers a writer that died before it sent the table.
constexpr absl::Duration kZoneTableReadInterval = absl::Seconds(30);
// A table is sent again after this time if its epoch is not acknowledged.
constexpr absl::Duration kTableResendInterval = absl::Seconds(2);
// A new instance that has not discovered its peers would rank itself as a
// reader. The instance waits at most this long for the peers that the list
// names.
constexpr absl::Duration kMaxMemberDiscoveryWait = absl::Seconds(3);
// Longest wait for the first instance list.
constexpr absl::Duration kMaxFirstListWait = absl::Milliseconds(500);
// An instance reads the table from the store if no reader has sent the table
// within this time.
constexpr absl::Duration kMaxTableFromPeerWait = absl::Seconds(5);

// If the gap between two reads of the list is larger than this time, the reads
// do not prove that a holder was absent during the gap. The list is read every
// 5 s, so one failed read is tolerated.
constexpr absl::Duration kMaxListAge = absl::Seconds(12);

// Minimum time between two writes of one instance. The acknowledgements of an
// epoch arrive within about 100 ms, so they lead to one write instead of many.
constexpr absl::Duration kMinPlanInterval = absl::Seconds(1);

// The instance of rank n writes only if the instances of lower rank have not
// written within n times this delay. Instances of rank kWriterRankCount or
// higher never write; their rank falls when instances of lower rank are
// suspected to be dead.
constexpr absl::Duration kWriteDelayPerRank = absl::Seconds(2);
constexpr int kWriterRankCount = 3;

constexpr absl::Duration kSplitTableReadInterval = absl::Seconds(30);
constexpr absl::Duration kRebalanceInterval = absl::Seconds(30);
constexpr size_t kMaxRecordedEpochs = 64;

constexpr int64_t kBitsPerMegabit = 1'000'000;
constexpr int kBitsPerByte = 8;
constexpr int kFullPercent = 100;

/// \returns the instance name and the incarnation of a holder.
std::pair<absl::string_view, int64_t> ParseHolderName(
    absl::string_view holder) {
  const size_t dot = holder.rfind('.');
  int64_t incarnation = 0;
  if (dot == absl::string_view::npos ||
      !absl::SimpleAtoi(holder.substr(dot + 1), &incarnation)) {
    return {holder, 0};
  }
  return {holder.substr(0, dot), incarnation};
}

/// \brief Divides a total evenly among names; the first names get the
/// remainder.
void DivideEvenly(int64_t total,
                  const std::vector<absl::string_view>& names,
                  std::map<std::string, int64_t, std::less<>>* quotas) {
  const auto count = static_cast<int64_t>(names.size());
  for (int64_t i = 0; i < count; ++i) {
    (*quotas)[std::string(names[i])] =
        total / count + (i < total % count ? 1 : 0);
  }
}

std::string LinkKey(const model::Link& link, absl::string_view source_region) {
  return absl::StrCat(kLinkPrefix, link.name, "/", source_region);
}

std::map<absl::string_view, std::vector<absl::string_view>> ZonesByRegion(
    const model::Configuration& configuration) {
  std::map<absl::string_view, std::vector<absl::string_view>> zones;
  for (const auto& [name, zone] : configuration.zones()) {
    zones[zone.region].push_back(name);
  }
  return zones;
}

}  // namespace internal

std::string HolderName(const steer::InstanceId& id) {
  return absl::StrCat(id.name, ".", id.incarnation);
}

int64_t MaxMovedRequestsPerWindow(const model::Configuration& configuration,
                                  const model::Cap& cap) {
  const auto region = configuration.regions().find(cap.region);
  if (region == configuration.regions().end()) {
    return 0;
  }
  return static_cast<int64_t>(region->second.declared_rate *
                              absl::ToDoubleSeconds(cap.window) *
                              cap.max_moved_percent / internal::kFullPercent);
}

int64_t UsableLinkBytesPerSecond(const model::Link& link) {
  return link.mbit_per_s * internal::kBitsPerMegabit / internal::kBitsPerByte *
         (internal::kFullPercent - kLinkReservePercent) /
         internal::kFullPercent;
}

Allotments::Builder& Allotments::Builder::Rules(AllotmentRules rules) {
  rules_ = rules;
  return *this;
}

Allotments::Builder& Allotments::Builder::ServiceUseHook(
    std::function<ServiceUse()> service_use) {
  service_use_ = std::move(service_use);
  return *this;
}

std::unique_ptr<Allotments> Allotments::Builder::Build() const {
  return std::unique_ptr<Allotments>(new Allotments(*this));
}

Allotments::Allotments(const Builder& builder)
    : self_(builder.self_),
      holder_(HolderName(builder.self_.id)),
      next_call_id_(builder.next_call_id_),
      rules_(builder.rules_),
      random_(base::StableHash(holder_)),
      service_use_(builder.service_use_) {
  UpdateRank();
  zone_table_.key = AllotmentKey(self_.zone);
  split_table_.key = std::string(kSplitKey);
}

void Allotments::Observe(absl::Time now) {
  const absl::Time previous_event_time = std::exchange(last_event_time_, now);
  if (previous_event_time == absl::InfinitePast() ||
      (now >= previous_event_time && now - previous_event_time <= kPauseGap)) {
    return;
  }
  // If a holder was absent before the pause, this does not prove that the
  // holder was absent during the pause.
  unlisted_holders_.clear();
  replaced_since_.clear();
  last_list_time_ = absl::InfinitePast();
  if (now >= previous_event_time &&
      now - previous_event_time <= kMaxPauseWithoutConfirmation) {
    return;
  }
  if (rules_.confirm_after_pause) {
    is_confirmed_ = false;
    has_read_since_pause_ = false;
    call_id_at_pause_ = next_call_id_();
    zone_table_.is_read_requested = true;
    has_changes_ = true;
  }
}

void Allotments::OnTick(absl::Time now, Actions* actions) {
  Observe(now);
  first_tick_time_ = std::min(first_tick_time_, now);
  if (configuration_->revision() == 0) {
    return;  // The configuration declares no totals yet.
  }
  ReadIfDue(&zone_table_, internal::kZoneTableReadInterval, now, actions);
  ReadIfDue(&split_table_, internal::kSplitTableReadInterval, now, actions);
  Acknowledge();
  PushTable(now, actions);
  PlanIfDue(now, actions);
}

void Allotments::ReadIfDue(StoredTable* stored,
                           absl::Duration interval,
                           absl::Time now,
                           Actions* actions) {
  const absl::Duration time_since_first_tick = now - first_tick_time_;
  const bool is_reader = IsReader() && HasDiscoveredMembers(now);
  const bool is_table_overdue =
      stored == &zone_table_ && !zone_table_.is_known &&
      time_since_first_tick >= internal::kMaxTableFromPeerWait;
  if ((is_reader || is_table_overdue) && now >= stored->next_read_time) {
    stored->next_read_time = now + interval * (0.75 + random_.Unit() / 2);
    stored->is_read_requested = true;
  }
  if (!stored->is_read_requested || stored->read_call_id != 0 ||
      now < stored->earliest_retry_time) {
    return;
  }
  stored->is_read_requested = false;
  stored->read_call_id = next_call_id_();
  actions->push_back(StoreCall{stored->read_call_id, StoreGet{stored->key}});
}

bool Allotments::IsReader() const {
  return own_rank_ < static_cast<int>(kReadersPerZone);
}

bool Allotments::HasDiscoveredMembers(absl::Time now) const {
  if (now - first_tick_time_ >= internal::kMaxMemberDiscoveryWait) {
    return true;
  }
  if (last_list_time_ == absl::InfinitePast()) {
    return now - first_tick_time_ >= internal::kMaxFirstListWait;
  }
  std::set<absl::string_view> known_members = {self_.id.name};
  for (const AllotmentMember& member : members_) {
    known_members.insert(member.identity.id.name);
  }
  return std::all_of(
      listed_names_.begin(), listed_names_.end(),
      [&](const std::string& name) { return known_members.count(name) > 0; });
}

void Allotments::PushTable(absl::Time now, Actions* actions) {
  if (!zone_table_.is_known || zone_table_.revision == 0 || !IsReader()) {
    return;
  }
  std::string value;
  for (const AllotmentMember& member : members_) {
    if (!member.is_alive) {
      continue;
    }
    const std::string holder = HolderName(member.identity.id);
    const auto acknowledgement_times = acknowledgement_times_.find(holder);
    const int64_t acknowledged =
        acknowledgement_times == acknowledgement_times_.end() ||
                acknowledgement_times->second.empty()
            ? 0
            : acknowledgement_times->second.rbegin()->first;
    const auto last_sent = last_sent_times_.find(holder);
    const bool is_due =
        is_push_requested_ ||
        (acknowledged < zone_table_.table.epoch &&
         (last_sent == last_sent_times_.end() ||
          now >= last_sent->second + internal::kTableResendInterval));
    if (!is_due) {
      continue;
    }
    if (value.empty()) {
      value = EncodeAllotmentTable(zone_table_.table);
    }
    last_sent_times_[holder] = now;
    actions->push_back(SendPeer{
        member.identity,
        AllotmentUpdate{zone_table_.key, zone_table_.revision, value}});
  }
  is_push_requested_ = false;
}

void Allotments::OnTableUpdate(const AllotmentUpdate& update) {
  if (update.key != zone_table_.key ||
      update.revision <= zone_table_.revision) {
    return;
  }
  ApplyTableValue(&zone_table_,
                  {update.key, update.value, update.revision, false});
}

bool Allotments::OnStoreAnswer(const StoreAnswer& answer,
                               absl::Time now,
                               Actions* /*actions*/) {
  if (answer.id == 0) {
    return false;
  }
  if (answer.id == pending_write_call_id_) {
    OnWriteAnswer(answer, now);
    return true;
  }
  return OnReadAnswer(&zone_table_, answer, now) ||
         OnReadAnswer(&split_table_, answer, now);
}

bool Allotments::OnReadAnswer(StoredTable* stored,
                              const StoreAnswer& answer,
                              absl::Time now) {
  if (answer.id != stored->read_call_id) {
    return false;
  }
  stored->read_call_id = 0;
  if (answer.status == StoreStatus::kUnknown) {
    stored->earliest_retry_time = now + stored->backoff.Next(&random_);
    stored->is_read_requested = true;
    return true;
  }
  stored->backoff.Reset();
  if (stored == &zone_table_ && answer.id > call_id_at_pause_) {
    has_read_since_pause_ = true;
  }
  ApplyReadResult(stored, answer);
  return true;
}

void Allotments::ApplyReadResult(StoredTable* stored,
                                 const StoreAnswer& answer) {
  for (const StoreKeyValue& key_value : answer.key_values) {
    if (key_value.key != stored->key || key_value.is_deleted) {
      continue;
    }
    if (stored->is_known && key_value.revision == stored->revision) {
      return;
    }
    ApplyTableValue(stored, key_value);
    is_push_requested_ = is_push_requested_ || stored == &zone_table_;
    return;
  }
  is_plan_requested_ = is_plan_requested_ || !stored->is_known;
  stored->is_known = true;
}

void Allotments::ApplyTableValue(StoredTable* stored,
                                 const StoreKeyValue& key_value) {
  base::Findings findings;
  std::optional<AllotmentTable> table =
      DecodeAllotmentTable(key_value.value, &findings);
  stored->is_unreadable = !table;
  if (!table) {
    return;
  }
  // A read after an outage may return an older epoch, which could raise the
  // target of this instance again.
  if (rules_.ignore_older_epochs && table->epoch < stored->table.epoch) {
    return;
  }
  stored->table = std::move(*table);
  stored->revision = key_value.revision;
  stored->is_known = true;
  has_changes_ = true;
  is_plan_requested_ = true;
}

void Allotments::StartWrite(WriteKind kind,
                            const StoredTable& stored,
                            const AllotmentTable& next,
                            Actions* actions) {
  pending_write_kind_ = kind;
  pending_write_call_id_ = next_call_id_();
  ++write_count_;
  actions->push_back(
      StoreCall{pending_write_call_id_,
                StoreCompareAndSwap{stored.key, stored.revision,
                                    EncodeAllotmentTable(next), false, 0}});
}

void Allotments::OnWriteAnswer(const StoreAnswer& answer, absl::Time now) {
  const WriteKind kind = std::exchange(pending_write_kind_, WriteKind::kNone);
  const bool is_after_pause = pending_write_call_id_ > call_id_at_pause_;
  pending_write_call_id_ = 0;
  StoredTable* stored =
      kind == WriteKind::kSplit ? &split_table_ : &zone_table_;
  // Whether the write succeeded, failed or has an unknown outcome, the next
  // step starts from the table that the store returns. A lost answer therefore
  // needs no special case.
  stored->is_read_requested = true;
  is_plan_requested_ = true;
  if (answer.status == StoreStatus::kUnknown) {
    stored->earliest_retry_time = now + stored->backoff.Next(&random_);
    return;
  }
  if (kind == WriteKind::kConfirmation && answer.status == StoreStatus::kOk &&
      is_after_pause) {
    is_confirmed_ = true;
    has_changes_ = true;
  }
}

void Allotments::OnConfiguration(
    std::shared_ptr<const model::Configuration> configuration) {
  if (configuration->revision() == configuration_->revision()) {
    return;
  }
  configuration_ = std::move(configuration);
  split_table_.next_read_time = absl::InfinitePast();
  is_plan_requested_ = true;
  has_changes_ = true;
}

void Allotments::OnMembersChanged(std::vector<AllotmentMember> members,
                                  absl::Time now) {
  std::map<std::string, absl::Time, std::less<>> leaving_since;
  for (const AllotmentMember& member : members) {
    const std::string holder = HolderName(member.identity.id);
    OnHeartbeat(member.identity.id, member.acknowledged_epoch, now);
    if (member.is_leaving || IsInstanceDraining(member.identity.id.name)) {
      const auto since = leaving_since_by_holder_.find(holder);
      leaving_since[holder] =
          since == leaving_since_by_holder_.end() ? now : since->second;
    }
  }
  const auto live_holders = [](const std::vector<AllotmentMember>& list) {
    std::set<std::string> live_names;
    for (const AllotmentMember& member : list) {
      if (member.is_alive && !member.is_leaving) {
        live_names.insert(HolderName(member.identity.id));
      }
    }
    return live_names;
  };
  is_plan_requested_ =
      is_plan_requested_ || live_holders(members) != live_holders(members_);
  if (IsInstanceDraining(self_.id.name)) {
    const auto since = leaving_since_by_holder_.find(holder_);
    leaving_since[holder_] =
        since == leaving_since_by_holder_.end() ? now : since->second;
  }
  leaving_since_by_holder_ = std::move(leaving_since);
  members_ = std::move(members);
  UpdateRank();
  std::set<std::string, std::less<>> known_members = {holder_};
  for (const AllotmentMember& member : members_) {
    known_members.insert(HolderName(member.identity.id));
  }
  const auto erase_unknown_holders = [&](auto* by_holder) {
    for (auto it = by_holder->begin(); it != by_holder->end();) {
      it = known_members.count(it->first) > 0 ? std::next(it)
                                              : by_holder->erase(it);
    }
  };
  erase_unknown_holders(&acknowledgement_times_);
  erase_unknown_holders(&last_sent_times_);
}

void Allotments::OnHeartbeat(const steer::InstanceId& sender,
                             int64_t acknowledged_epoch,
                             absl::Time now) {
  std::map<int64_t, absl::Time>& acknowledgement_times =
      acknowledgement_times_[HolderName(sender)];
  if (acknowledgement_times.empty() ||
      acknowledgement_times.rbegin()->first < acknowledged_epoch) {
    acknowledgement_times.emplace(acknowledged_epoch, now);
    is_plan_requested_ = true;
  }
  while (acknowledgement_times.size() > internal::kMaxRecordedEpochs) {
    acknowledgement_times.erase(acknowledgement_times.begin());
  }
}

void Allotments::OnList(const InstanceList& list, absl::Time now) {
  std::set<std::string, std::less<>> listed_names;
  std::set<std::string, std::less<>> leaving_names;
  for (const ListedInstance& listed : list.instances) {
    if (listed.identity.zone != self_.zone) {
      continue;
    }
    listed_names.insert(listed.identity.id.name);
    if (listed.is_leaving) {
      leaving_names.insert(listed.identity.id.name);
    }
  }
  is_plan_requested_ = is_plan_requested_ || listed_names != listed_names_;
  listed_names_ = std::move(listed_names);
  leaving_listed_names_ = std::move(leaving_names);
  // A list that does not name this instance is incomplete or outdated and does
  // not prove that any holder is absent.
  if (listed_names_.count(self_.id.name) == 0) {
    return;
  }
  if (now - last_list_time_ > internal::kMaxListAge) {
    unlisted_holders_.clear();
  }
  last_list_time_ = now;
  UpdateUnlistedHolders(now);
}

void Allotments::UpdateUnlistedHolders(absl::Time now) {
  std::set<std::string, std::less<>> holders;
  for (const auto& [key, total] : zone_table_.table.totals) {
    for (const auto& [holder, share] : total.shares) {
      holders.insert(holder);
    }
  }
  std::map<std::string, Absence, std::less<>> unlisted;
  for (const std::string& holder : holders) {
    if (listed_names_.count(internal::ParseHolderName(holder).first) > 0) {
      continue;
    }
    const auto confirmation = zone_table_.table.confirmations.find(holder);
    const int64_t confirmation_count =
        confirmation == zone_table_.table.confirmations.end()
            ? 0
            : confirmation->second;
    const auto previous = unlisted_holders_.find(holder);
    unlisted[holder] =
        previous != unlisted_holders_.end() &&
                previous->second.confirmations == confirmation_count
            ? previous->second
            : Absence{now, confirmation_count};
  }
  unlisted_holders_ = std::move(unlisted);
}

void Allotments::OnSlotsInUse(
    std::map<std::string, int, std::less<>> slots_in_use) {
  slots_in_use_ = std::move(slots_in_use);
  // The usage was measured after the shares of this epoch were published, so no
  // later request was admitted under older shares.
  if (rules_.acknowledge_after_usage_report) {
    usage_reported_epoch_ = published_epoch_;
  }
}

void Allotments::OnPublished() {
  published_epoch_ = is_confirmed_ ? usage_limits_epoch_ : 0;
  if (!rules_.acknowledge_after_usage_report) {
    usage_reported_epoch_ = published_epoch_;
  }
}

void Allotments::OnLeaving(absl::Time now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    own_leaving_since_ = now;
    UpdateRank();
    is_plan_requested_ = true;
  }
}

void Allotments::Acknowledge() {
  if (!is_confirmed_ || !zone_table_.is_known ||
      usage_reported_epoch_ != zone_table_.table.epoch ||
      acknowledged_epoch_ >= usage_reported_epoch_) {
    return;
  }
  for (const auto& [server, used] : slots_in_use_) {
    const AllotmentShare* share =
        zone_table_.table.Find(absl::StrCat(kSlotsPrefix, server), holder_);
    const int64_t target = share == nullptr ? 0 : share->target;
    if (used > target && rules_.check_use_before_acknowledgement) {
      return;
    }
  }
  acknowledged_epoch_ = usage_reported_epoch_;
  is_plan_requested_ = true;
}

int64_t Allotments::DeclaredTotal(absl::string_view key) const {
  absl::string_view name = key;
  if (absl::ConsumePrefix(&name, kSlotsPrefix)) {
    const auto& servers = configuration_->backend_servers();
    const auto server = servers.find(name);
    return server == servers.end() ? 0 : server->second.slots;
  }
  if (absl::ConsumePrefix(&name, kMovedPrefix)) {
    const auto cap = configuration_->caps().find(name);
    return cap == configuration_->caps().end()
               ? 0
               : MaxMovedRequestsPerWindow(*configuration_, cap->second);
  }
  if (absl::ConsumePrefix(&name, kLinkPrefix)) {
    const auto& links = configuration_->links();
    const auto link = links.find(name.substr(0, name.find('/')));
    return link == links.end() ? 0 : UsableLinkBytesPerSecond(link->second);
  }
  return 0;
}

int64_t Allotments::ComputeUsageLimit(absl::string_view key,
                                      const AllotmentTotal& total) const {
  const auto share = total.shares.find(holder_);
  if (!is_confirmed_ || share == total.shares.end()) {
    return 0;
  }
  const int64_t target = rules_.limit_use_to_target ? share->second.target
                                                    : share->second.reserved;
  return rules_.scale_lowered_totals
             ? ScaleShare(target, DeclaredTotal(key), total.declared_total)
             : target;
}

int64_t Allotments::UsageLimit(absl::string_view key) const {
  const auto limit = usage_limits_.find(key);
  return limit == usage_limits_.end() ? 0 : limit->second;
}

int64_t Allotments::SlotShare(absl::string_view backend_server) const {
  return UsageLimit(absl::StrCat(kSlotsPrefix, backend_server));
}

std::map<std::string, int64_t, std::less<>> Allotments::MovedShares() const {
  std::map<std::string, int64_t, std::less<>> shares;
  for (const auto& [name, cap] : configuration_->caps()) {
    shares[name] = UsageLimit(absl::StrCat(kMovedPrefix, name));
  }
  return shares;
}

std::map<std::string, int64_t, std::less<>> Allotments::LinkShares() const {
  std::map<std::string, int64_t, std::less<>> shares;
  for (const auto& [name, link] : configuration_->links()) {
    if (link.a == self_.region || link.b == self_.region) {
      shares[name] = UsageLimit(internal::LinkKey(link, self_.region));
    }
  }
  return shares;
}

absl::Duration Allotments::RateWindow(absl::string_view key) const {
  absl::string_view name = key;
  if (absl::ConsumePrefix(&name, kMovedPrefix)) {
    const auto cap = configuration_->caps().find(name);
    // A deleted cap imposes no limit.
    return cap == configuration_->caps().end() ? absl::ZeroDuration()
                                               : cap->second.window;
  }
  return absl::ConsumePrefix(&name, kLinkPrefix) ? kLinkBudgetWindow
                                                 : absl::ZeroDuration();
}

absl::Duration Allotments::GracePeriod(absl::string_view key) const {
  if (!rules_.reclaim_after_grace_period) {
    return absl::ZeroDuration();
  }
  absl::string_view name = key;
  if (!absl::ConsumePrefix(&name, kSlotsPrefix)) {
    return RateWindow(key);
  }
  // A backend server may continue to process a request of a dead instance until
  // the deadline of the request.
  absl::Duration max_deadline = absl::ZeroDuration();
  for (const auto& [service_name, service] : configuration_->services()) {
    max_deadline = std::max(max_deadline, service.deadline);
  }
  return max_deadline;
}

void Allotments::UpdateRank() {
  std::vector<std::string> names;
  for (const AllotmentMember& member : members_) {
    if (member.is_alive && !member.is_leaving) {
      names.push_back(member.identity.id.name);
    }
  }
  if (!is_leaving_ || names.empty()) {
    names.push_back(self_.id.name);
  }
  SortByReaderRank(self_.zone, &names);
  const auto own_position =
      std::find(names.begin(), names.end(), self_.id.name);
  own_rank_ = own_position == names.end()
                  ? std::numeric_limits<int>::max()
                  : static_cast<int>(own_position - names.begin());
}

void Allotments::RecomputeUsageLimits() {
  usage_limits_.clear();
  usage_limits_epoch_ = zone_table_.table.epoch;
  for (const auto& [key, total] : zone_table_.table.totals) {
    const int64_t limit = ComputeUsageLimit(key, total);
    if (limit > 0) {
      usage_limits_.emplace(key, limit);
    }
  }
}

bool Allotments::TakeChange() {
  if (!has_changes_) {
    return false;
  }
  has_changes_ = false;
  RecomputeUsageLimits();
  return true;
}

bool Allotments::IsReplaced(absl::string_view holder) const {
  const auto [name, incarnation] = internal::ParseHolderName(holder);
  if (name == self_.id.name) {
    return incarnation < self_.id.incarnation;
  }
  for (const AllotmentMember& member : members_) {
    if (member.identity.id.name == name &&
        member.identity.id.incarnation > incarnation) {
      return true;
    }
  }
  return false;
}

bool Allotments::IsExpired(absl::string_view holder,
                           absl::string_view key,
                           absl::Time now) const {
  const auto replaced_since = replaced_since_.find(holder);
  if (replaced_since != replaced_since_.end() &&
      now - replaced_since->second >= GracePeriod(key)) {
    return true;
  }
  for (const AllotmentMember& member : members_) {
    if (HolderName(member.identity.id) != holder) {
      continue;
    }
    if (member.is_alive) {
      return false;
    }
    if (!rules_.reclaim_only_if_unlisted) {
      return true;
    }
  }
  const auto unlisted = unlisted_holders_.find(holder);
  if (unlisted == unlisted_holders_.end() ||
      now - last_list_time_ > internal::kMaxListAge) {
    return false;
  }
  const absl::Duration reclaim_delay =
      RateWindow(key) > absl::ZeroDuration() &&
              rules_.reclaim_after_grace_period
          ? kUnlistedHolderTimeout + RateWindow(key)
          : std::max(kUnlistedHolderTimeout, GracePeriod(key));
  return now - unlisted->second.absent_since >= reclaim_delay;
}

bool Allotments::IsAcknowledged(absl::string_view holder,
                                absl::string_view key,
                                const AllotmentShare& share,
                                absl::Time now) const {
  const auto acknowledgement_times = acknowledgement_times_.find(holder);
  if (acknowledgement_times == acknowledgement_times_.end()) {
    return false;
  }
  const auto first_acknowledgement =
      acknowledgement_times->second.lower_bound(share.last_lowered_epoch);
  if (first_acknowledgement == acknowledgement_times->second.end()) {
    return false;
  }
  // The holder admitted requests while its target was larger. These requests
  // count against the total until the window no longer contains them.
  return !rules_.release_after_window ||
         now - first_acknowledgement->second >= RateWindow(key);
}

HolderStatus Allotments::StatusOf(const AllotmentMember& member,
                                  absl::Time now) const {
  const std::string& name = member.identity.id.name;
  if (member.is_leaving || IsInstanceDraining(name)) {
    // Callers keep sending requests until their cached lookups have expired.
    absl::Duration max_lookup_ttl = absl::ZeroDuration();
    for (const auto& [service_name, service] : configuration_->services()) {
      max_lookup_ttl = std::max(max_lookup_ttl, service.lookup_ttl);
    }
    const auto since =
        leaving_since_by_holder_.find(HolderName(member.identity.id));
    return since != leaving_since_by_holder_.end() &&
                   now - since->second >= max_lookup_ttl
               ? HolderStatus::kLeaving
               : HolderStatus::kFrozen;
  }
  if (!member.is_alive || leaving_listed_names_.count(name) > 0) {
    return HolderStatus::kFrozen;
  }
  // A new holder is eligible only after the list has named it. An instance that
  // the list has never named could not be recognised as absent later.
  return listed_names_.empty() || listed_names_.count(name) > 0
             ? HolderStatus::kEligible
             : HolderStatus::kFrozen;
}

std::set<std::string, std::less<>> Allotments::StartedDrains() const {
  std::set<std::string, std::less<>> started_drains;
  for (const auto& [name, record] : zone_table_.table.drains) {
    const model::Resource* resource =
        configuration_->Find({model::Kind::kDrain, name});
    if (record.is_started && resource != nullptr &&
        resource->resource_version == record.version) {
      started_drains.insert(name);
    }
  }
  return started_drains;
}

bool Allotments::IsDraining(const model::BackendServer& server) const {
  return IsCovered(*configuration_, StartedDrains(), server);
}

bool Allotments::IsInstanceDraining(absl::string_view name) const {
  for (const std::string& drain_name : StartedDrains()) {
    const model::Drain& drain = configuration_->drains().at(drain_name);
    if (drain.target == model::DrainTarget::kInstance &&
        drain.target_name == name) {
      return true;
    }
  }
  return false;
}

bool Allotments::AffectsZone(const model::Drain& drain) const {
  switch (drain.target) {
    case model::DrainTarget::kBackendServer: {
      const auto& servers = configuration_->backend_servers();
      const auto server = servers.find(drain.target_name);
      return server != servers.end() && server->second.zone == self_.zone;
    }
    case model::DrainTarget::kInstance:
      if (drain.target_name == self_.id.name) {
        return true;
      }
      for (const AllotmentMember& member : members_) {
        if (member.identity.id.name == drain.target_name) {
          return true;
        }
      }
      return false;
    case model::DrainTarget::kZone:
      return drain.target_name == self_.zone;
    case model::DrainTarget::kRegion:
      return drain.target_name == self_.region;
  }
  return false;
}

bool Allotments::DecideDrains(AllotmentTable* next) {
  has_waiting_drain_ = false;
  bool is_table_changed = false;
  for (auto it = next->drains.begin(); it != next->drains.end();) {
    const model::Resource* resource =
        configuration_->Find({model::Kind::kDrain, it->first});
    if (resource == nullptr ||
        resource->resource_version != it->second.version) {
      it = next->drains.erase(it);
      is_table_changed = true;
    } else {
      ++it;
    }
  }
  // Older drains are decided first: if two drains together need more headroom
  // than there is, the later drain waits or is refused.
  std::map<int64_t, std::vector<const model::Drain*>> undecided_drains;
  for (const auto& [name, drain] : configuration_->drains()) {
    if (AffectsZone(drain) && next->drains.count(name) == 0) {
      undecided_drains[configuration_->Find({model::Kind::kDrain, name})
                           ->resource_version]
          .push_back(&drain);
    }
  }
  if (undecided_drains.empty()) {
    return is_table_changed;
  }
  const ServiceUse service_use = service_use_();
  std::set<std::string, std::less<>> started_drains = StartedDrains();
  int live_instance_count = 1;
  for (const AllotmentMember& member : members_) {
    live_instance_count += member.is_alive && !member.is_leaving &&
                                   !IsInstanceDraining(member.identity.id.name)
                               ? 1
                               : 0;
  }
  for (const auto& [version, drains] : undecided_drains) {
    for (const model::Drain* drain : drains) {
      const DrainCheckResult check_result =
          CheckDrain(*configuration_, *drain, started_drains, service_use,
                     live_instance_count);
      if (!check_result.has_headroom() &&
          drain->on_shortage == model::DrainShortage::kWait) {
        has_waiting_drain_ = true;
        continue;
      }
      next->drains[drain->name] = {version, check_result.has_headroom()};
      is_table_changed = true;
      if (check_result.has_headroom()) {
        started_drains.insert(drain->name);
        live_instance_count -=
            drain->target == model::DrainTarget::kInstance ? 1 : 0;
      }
    }
  }
  return is_table_changed;
}

PlanInput Allotments::ZonePlanInput(absl::Time now) const {
  PlanInput input;
  input.config_revision = configuration_->revision();
  input.split_epoch = split_table_.table.epoch;
  for (const auto& [key, total] : zone_table_.table.totals) {
    for (const auto& [holder, share] : total.shares) {
      input.holders[holder].status =
          IsReplaced(holder) ? HolderStatus::kLeaving : HolderStatus::kFrozen;
    }
  }
  AllotmentMember self;
  self.identity = self_;
  std::vector<const AllotmentMember*> known_members = {&self};
  for (const AllotmentMember& member : members_) {
    known_members.push_back(&member);
  }
  for (const AllotmentMember* member : known_members) {
    PlanHolder& holder = input.holders[HolderName(member->identity.id)];
    holder.status = StatusOf(*member, now);
    holder.utilisation = member->utilisation;
  }
  if (is_leaving_) {
    input.holders[holder_].status = HolderStatus::kFrozen;
  }
  for (const auto& [name, server] : configuration_->backend_servers()) {
    if (server.zone != self_.zone) {
      continue;
    }
    PlanTotal& total = input.totals[absl::StrCat(kSlotsPrefix, name)];
    total.total = server.slots;
    total.declared_total = server.slots;
    total.service = server.service;
  }
  for (const auto& [key, total] : split_table_.table.totals) {
    const auto share = total.shares.find(self_.zone);
    if (share == total.shares.end()) {
      continue;
    }
    PlanTotal& plan_total = input.totals[key];
    plan_total.total = share->second.target;
    plan_total.declared_total = total.declared_total;
  }
  input.rebalance_by_load = now >= next_rebalance_time_;
  input.is_acknowledged = [this, now](absl::string_view holder,
                                      absl::string_view key,
                                      const AllotmentShare& share) {
    return IsAcknowledged(holder, key, share, now);
  };
  input.is_expired = [this, now](absl::string_view holder,
                                 absl::string_view key) {
    return IsExpired(holder, key, now);
  };
  return input;
}

PlanInput Allotments::SplitPlanInput() const {
  PlanInput input;
  input.config_revision = configuration_->revision();
  input.write_on_release = true;
  const auto zones = internal::ZonesByRegion(*configuration_);
  for (const auto& [name, zone] : configuration_->zones()) {
    input.holders[name];
  }
  // If a zone is no longer declared, its share in the split table is released
  // after the zone's own table has released the share.
  for (const auto& [key, total] : split_table_.table.totals) {
    for (const auto& [zone, share] : total.shares) {
      if (configuration_->zones().count(zone) == 0) {
        input.holders[zone].status = HolderStatus::kLeaving;
      }
    }
  }
  for (const auto& [name, cap] : configuration_->caps()) {
    PlanTotal& total = input.totals[absl::StrCat(kMovedPrefix, name)];
    total.declared_total = MaxMovedRequestsPerWindow(*configuration_, cap);
    total.total = total.declared_total;
    std::vector<absl::string_view> regions;
    for (const auto& [region, names] : zones) {
      if (region != cap.region) {
        regions.push_back(region);
      }
    }
    std::map<std::string, int64_t, std::less<>> quotas_by_region;
    internal::DivideEvenly(total.total, regions, &quotas_by_region);
    for (const auto& [region, names] : zones) {
      internal::DivideEvenly(quotas_by_region[std::string(region)], names,
                             &total.quotas);
    }
  }
  for (const auto& [name, link] : configuration_->links()) {
    for (const std::string& source_region : {link.a, link.b}) {
      PlanTotal& total = input.totals[internal::LinkKey(link, source_region)];
      total.declared_total = UsableLinkBytesPerSecond(link);
      total.total = total.declared_total;
      const auto names = zones.find(source_region);
      if (names != zones.end()) {
        internal::DivideEvenly(total.total, names->second, &total.quotas);
      }
    }
  }
  input.is_acknowledged = [this](absl::string_view zone, absl::string_view key,
                                 const AllotmentShare& share) {
    if (zone != self_.zone ||
        zone_table_.table.split_epoch < share.last_lowered_epoch) {
      return false;
    }
    const auto total = zone_table_.table.totals.find(key);
    return total == zone_table_.table.totals.end() ||
           total->second.total <= share.target;
  };
  return input;
}

void Allotments::PlanIfDue(absl::Time now, Actions* actions) {
  if (pending_write_kind_ != WriteKind::kNone || !zone_table_.is_known ||
      zone_table_.is_unreadable || zone_table_.is_read_requested ||
      zone_table_.read_call_id != 0) {
    return;
  }
  if (!is_confirmed_) {
    if (!has_read_since_pause_) {
      return;
    }
    if (!zone_table_.table.HasReservation(holder_)) {
      is_confirmed_ = true;
      has_changes_ = true;
      return;
    }
    AllotmentTable next = zone_table_.table;
    ++next.epoch;
    ++next.confirmations[holder_];
    StartWrite(WriteKind::kConfirmation, zone_table_, next, actions);
    return;
  }
  const int rank = own_rank_;
  is_plan_requested_ =
      is_plan_requested_ || (rank == 0 && now >= next_rebalance_time_);
  if (!is_plan_requested_) {
    plan_requested_since_ = absl::InfiniteFuture();
    return;
  }
  if (plan_requested_since_ == absl::InfiniteFuture() ||
      plan_requested_since_ == absl::InfinitePast()) {
    plan_requested_since_ = now;
  }
  if (rank >= internal::kWriterRankCount || now < earliest_plan_time_ ||
      now < plan_requested_since_ + rank * internal::kWriteDelayPerRank) {
    return;
  }
  earliest_plan_time_ = now + internal::kMinPlanInterval;
  // The planner treats acknowledgements of this instance like those of other
  // instances.
  OnHeartbeat(self_.id, acknowledged_epoch_, now);
  std::map<std::string, absl::Time, std::less<>> replaced_since;
  for (const auto& [key, total] : zone_table_.table.totals) {
    for (const auto& [holder, share] : total.shares) {
      if (IsReplaced(holder)) {
        const auto since = replaced_since_.find(holder);
        replaced_since[holder] =
            since == replaced_since_.end() ? now : since->second;
      }
    }
  }
  replaced_since_ = std::move(replaced_since);
  // A writer with an outdated configuration or split table would raise totals
  // that have been lowered since.
  const bool has_stale_inputs =
      configuration_->revision() < zone_table_.table.config_revision ||
      split_table_.table.epoch < zone_table_.table.split_epoch ||
      !split_table_.is_known;
  if (has_stale_inputs && rules_.reject_stale_inputs) {
    split_table_.is_read_requested = true;
    return;
  }
  if (!split_table_.is_unreadable && split_table_.read_call_id == 0 &&
      configuration_->revision() >= split_table_.table.config_revision) {
    const AllotmentPlan split_plan =
        PlanAllotments(split_table_.table, SplitPlanInput(), rules_.planner);
    if (split_plan.is_write_needed) {
      StartWrite(WriteKind::kSplit, split_table_, split_plan.table, actions);
      return;
    }
  }
  AllotmentPlan plan =
      PlanAllotments(zone_table_.table, ZonePlanInput(now), rules_.planner);
  if (now >= next_rebalance_time_) {
    next_rebalance_time_ = now + internal::kRebalanceInterval;
  }
  if (DecideDrains(&plan.table) || plan.is_write_needed) {
    StartWrite(WriteKind::kZone, zone_table_, plan.table, actions);
    return;
  }
  // The plan can change without an event, by the passage of time alone, if a
  // release is pending, a drain is waiting, or a holder is absent, replaced or
  // leaving. Every other change of the plan requires an event.
  is_plan_requested_ = plan.has_pending_release || has_waiting_drain_ ||
                       !unlisted_holders_.empty() || !replaced_since_.empty() ||
                       !leaving_since_by_holder_.empty();
}

}  // namespace baobabwall::control
