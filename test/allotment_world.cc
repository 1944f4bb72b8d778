#include "allotment_world.h"

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"

namespace baobabwall::test {

using control::StoreStatus;

AllotmentWorld::AllotmentWorld(uint64_t seed, control::AllotmentRules rules)
    : random_(seed), rules_(rules) {
  for (int i = 0; i < 7; ++i) {
    StartProcess(absl::StrCat("p", i), i < 4 ? "b1" : i < 6 ? "b2" : "b3");
  }
  DeclareConfiguration(slots_per_server_, declared_rate_, false);
}

void AllotmentWorld::DeclareConfiguration(int slots,
                                          int rate,
                                          bool with_third_zone) {
  slots_per_server_ = slots;
  declared_rate_ = rate;
  has_third_zone_ = with_third_zone;
  model::ChangeBatch batch;
  const auto add = [&](model::Kind kind, const char* name,
                       const std::string& spec) {
    batch.changes.push_back({{kind, name}, spec, {}});
  };
  add(model::Kind::kRegion, "a",
      absl::StrCat(R"({"declaredRate":)", rate, "}"));
  add(model::Kind::kRegion, "b", R"({"declaredRate":10})");
  add(model::Kind::kZone, "a1", R"({"region":"a"})");
  add(model::Kind::kZone, "b1", R"({"region":"b"})");
  add(model::Kind::kZone, "b2", R"({"region":"b"})");
  if (with_third_zone) {
    add(model::Kind::kZone, "b3", R"({"region":"b"})");
  }
  add(model::Kind::kCap, "cap",
      absl::StrCat(R"({"region":"a","maxMovedPercent":20,"windowMs":)",
                   absl::ToInt64Milliseconds(kCapWindow), "}"));
  add(model::Kind::kService, "s",
      absl::StrCat(R"({"tenant":"t","class":"interactive","deadlineMs":)",
                   absl::ToInt64Milliseconds(kRequestDeadline), "}"));
  for (const char* server : {"s1", "s2", "s3"}) {
    const char* zone = server[1] == '3' ? "b2" : "b1";
    add(model::Kind::kBackendServer, server,
        absl::StrCat(R"({"service":"s","address":"10.0.0.1","port":80,)",
                     R"("zone":")", zone, R"(","slots":)", slots, "}"));
  }
  base::Findings findings;
  configuration_ =
      configuration_->Apply(batch, configuration_->revision() + 1, &findings);
}

std::shared_ptr<AllotmentWorld::Process> AllotmentWorld::StartProcess(
    const std::string& name,
    const std::string& zone) {
  auto process = std::make_shared<Process>();
  process->identity.id = {name, ++last_incarnation_};
  process->identity.zone = zone;
  process->identity.region = "b";
  process->is_in_second_partition_half = processes_.size() % 2 == 1;
  process->clock_offset = absl::Seconds(random_.Below(100)) - absl::Seconds(50);
  process->configuration = model::Configuration::Empty();
  process->moved_window = std::make_unique<base::SlidingWindow>(kCapWindow);
  auto last_call = std::make_shared<control::StoreCallId>(0);
  process->allotments =
      control::Allotments::Builder(process->identity,
                                   [last_call] { return ++*last_call; })
          .Rules(rules_)
          .Build();
  processes_.push_back(process);
  list_[name] = {process->identity};
  return process;
}

bool AllotmentWorld::IsRunning(const Process& process) const {
  return !process.is_dead && now_ >= process.paused_until;
}

bool AllotmentWorld::IsFaultActive(Fault fault) const {
  const auto found = active_fault_ends_.find(fault);
  return found != active_fault_ends_.end() && now_ < found->second;
}

std::shared_ptr<AllotmentWorld::Process> AllotmentWorld::PickRunningProcess() {
  std::vector<std::shared_ptr<Process>> candidates;
  for (const auto& process : processes_) {
    if (IsRunning(*process) && !process->is_leaving) {
      candidates.push_back(process);
    }
  }
  return candidates.empty() ? processes_.back()
                            : candidates[random_.Below(candidates.size())];
}

int AllotmentWorld::LiveInstanceCount(const std::string& zone) const {
  int count = 0;
  for (const auto& process : processes_) {
    count += process->identity.zone == zone && !process->is_dead &&
                     !process->is_leaving
                 ? 1
                 : 0;
  }
  return count;
}

void AllotmentWorld::InjectFault(Fault fault) {
  const auto process = PickRunningProcess();
  const std::string name = process->identity.id.name;
  switch (fault) {
    case Fault::kKill:
      process->is_dead = true;
      pending_restarts_.push_back(
          {now_ + absl::Seconds(1), {name, process->identity.zone}});
      return;
    case Fault::kKillWithoutRestart:
      // A zone without any instance keeps its share of the cap, because its
      // table has no writer. One instance of b1 stays alive, so that the
      // declared totals can be used completely.
      if (process->identity.zone == "b1" && LiveInstanceCount("b1") > 1) {
        process->is_dead = true;
        list_[name].unlisted_from = now_ + absl::Seconds(10);
      }
      return;
    case Fault::kShortPause:
      process->paused_until = now_ + absl::Seconds(8);
      list_[name].unlisted_from = now_ + absl::Seconds(1);
      list_[name].relisted_from = now_ + absl::Seconds(18);
      return;
    case Fault::kLongPause:
      process->paused_until = now_ + absl::Seconds(70);
      list_[name].unlisted_from = now_ + absl::Seconds(1);
      list_[name].relisted_from = now_ + absl::Seconds(80);
      return;
    case Fault::kLowerTotals:
      DeclareConfiguration(slots_per_server_ == 6 ? 3 : 6,
                           declared_rate_ == 30 ? 15 : 30, has_third_zone_);
      return;
    case Fault::kAddZone:
      DeclareConfiguration(slots_per_server_, declared_rate_, true);
      return;
    case Fault::kJoin:
      StartProcess(absl::StrCat("q", last_incarnation_), "b1");
      return;
    case Fault::kLeave:
      if (LiveInstanceCount(process->identity.zone) == 1) {
        return;
      }
      process->is_leaving = true;
      process->allotments->OnLeaving(now_ + process->clock_offset);
      return;
    case Fault::kStaleReads:
      stale_state_ = state_;
      break;
    default:
      break;
  }
  active_fault_ends_[fault] = now_ + absl::Seconds(10 + random_.Below(60));
}

void AllotmentWorld::EndFaults() {
  active_fault_ends_.clear();
  for (const auto& process : processes_) {
    process->paused_until = std::min(process->paused_until, now_);
    Listed& listed = list_[process->identity.id.name];
    if (!process->is_dead && !process->is_leaving) {
      listed.unlisted_from = absl::InfiniteFuture();
    }
  }
}

void AllotmentWorld::ExecuteCall(PendingCall* call_in_flight) {
  call_in_flight->is_executed = true;
  call_in_flight->answer.id = call_in_flight->call.id;
  if (IsFaultActive(Fault::kStoreUnavailable) ||
      (IsFaultActive(Fault::kPartition) &&
       call_in_flight->process->is_in_second_partition_half)) {
    return;
  }
  const bool is_stale =
      IsFaultActive(Fault::kStaleReads) && random_.Below(2) == 0;
  if (const auto* get =
          std::get_if<control::StoreGet>(&call_in_flight->call.request)) {
    call_in_flight->answer = (is_stale ? stale_state_ : state_).Get(*get);
  } else if (const auto* swap = std::get_if<control::StoreCompareAndSwap>(
                 &call_in_flight->call.request)) {
    control::StoreCompareAndSwap request = *swap;
    if (!rules_.compare_with_read_revision) {
      const auto present = state_.Get({request.key});
      request.expected_revision =
          present.key_values.empty() ? 0 : present.key_values[0].revision;
    }
    call_in_flight->answer = state_.CompareAndSwap(request);
    if (IsFaultActive(Fault::kLostAnswers) && random_.Below(2) == 0) {
      call_in_flight->answer = {};
    }
  }
  call_in_flight->answer.id = call_in_flight->call.id;
}

void AllotmentWorld::RunStoreStep() {
  // The answer arrives one step after the call takes effect.
  std::vector<PendingCall> remaining_calls;
  for (PendingCall& call_in_flight : std::exchange(pending_calls_, {})) {
    if (now_ < call_in_flight.due ||
        (call_in_flight.is_executed && !call_in_flight.process->is_dead &&
         !IsRunning(*call_in_flight.process))) {
      remaining_calls.push_back(std::move(call_in_flight));
    } else if (!call_in_flight.is_executed) {
      ExecuteCall(&call_in_flight);
      remaining_calls.push_back(std::move(call_in_flight));
    } else if (!call_in_flight.process->is_dead) {
      control::Actions actions;
      Process& process = *call_in_flight.process;
      const absl::Time now = now_ + process.clock_offset;
      process.allotments->Observe(now);
      process.allotments->OnStoreAnswer(call_in_flight.answer, now, &actions);
    }
  }
  pending_calls_ = std::move(remaining_calls);
}

control::InstanceList AllotmentWorld::CurrentList() const {
  control::InstanceList list;
  for (const auto& [name, listed] : list_) {
    if (now_ < listed.unlisted_from || now_ >= listed.relisted_from) {
      list.instances.push_back({listed.identity, false});
      list.instances.back().identity.id.incarnation = 0;
    }
  }
  return list;
}

void AllotmentWorld::ReceiveHeartbeats(Process* process) {
  for (const auto& other : processes_) {
    const std::string& name = other->identity.id.name;
    if (other.get() == process ||
        other->identity.zone != process->identity.zone) {
      continue;
    }
    const bool is_partitioned = IsFaultActive(Fault::kPartition) &&
                                other->is_in_second_partition_half !=
                                    process->is_in_second_partition_half;
    const bool is_reachable = IsRunning(*other) && !is_partitioned;
    if (is_reachable && random_.Below(2) == 0) {
      control::AllotmentMember& member = process->known_members[name];
      member.identity = other->identity;
      member.is_leaving = other->is_leaving;
      member.acknowledged_epoch = other->allotments->acknowledged_epoch();
    }
    const auto known_member = process->known_members.find(name);
    if (known_member != process->known_members.end() &&
        known_member->second.identity.id == other->identity.id) {
      known_member->second.is_alive = is_reachable;
    }
  }
  std::vector<control::AllotmentMember> members;
  for (const auto& [name, member] : process->known_members) {
    members.push_back(member);
  }
  process->allotments->OnMembersChanged(std::move(members),
                                        now_ + process->clock_offset);
}

void AllotmentWorld::DeliverToPeer(const Process& from,
                                   const control::SendPeer& send) {
  const auto* update = std::get_if<control::AllotmentUpdate>(&send.payload);
  // One message in four is lost.
  if (update == nullptr || random_.Below(4) == 0) {
    return;
  }
  for (const auto& to : processes_) {
    const bool is_partitioned =
        IsFaultActive(Fault::kPartition) &&
        to->is_in_second_partition_half != from.is_in_second_partition_half;
    if (to->identity.id == send.to.id && IsRunning(*to) && !is_partitioned) {
      to->allotments->Observe(now_ + to->clock_offset);
      to->allotments->OnTableUpdate(*update);
    }
  }
}

void AllotmentWorld::RunProcessStep(const std::shared_ptr<Process>& process) {
  control::Allotments& allotments = *process->allotments;
  const absl::Time now = now_ + process->clock_offset;
  if (random_.Below(10) == 0 && !(IsFaultActive(Fault::kDelayedConfiguration) &&
                                  process->is_in_second_partition_half)) {
    process->configuration = configuration_;
    allotments.OnConfiguration(configuration_);
  }
  std::map<std::string, int, std::less<>> in_use;
  for (auto& [server, end_times] : process->in_flight) {
    in_use[server] = static_cast<int>(end_times.size());
  }
  control::Actions actions;
  // Usage reports are skipped at random, as by a busy control thread.
  if (random_.Below(2) == 0) {
    allotments.OnSlotsInUse(std::move(in_use));
  }
  allotments.OnTick(now, &actions);
  if (process->step_count % 3 == 0) {
    ReceiveHeartbeats(process.get());
  }
  if (++process->step_count % 50 == 0 &&
      !IsFaultActive(Fault::kListUnavailable)) {
    allotments.OnList(CurrentList(), now);
  }
  for (const control::Action& action : actions) {
    if (const auto* send = std::get_if<control::SendPeer>(&action)) {
      DeliverToPeer(*process, *send);
      continue;
    }
    const auto* call = std::get_if<control::StoreCall>(&action);
    if (call == nullptr) {
      continue;
    }
    const bool is_late =
        IsFaultActive(Fault::kDelayedCalls) && random_.Below(3) == 0;
    PendingCall call_in_flight;
    call_in_flight.due = now_ + (is_late ? absl::Seconds(random_.Below(20))
                                         : absl::ZeroDuration());
    call_in_flight.process = process;
    call_in_flight.call = *call;
    pending_calls_.push_back(std::move(call_in_flight));
  }
  allotments.TakeChange();
  for (const char* server : {"s1", "s2", "s3"}) {
    process->slot_shares[server] = allotments.SlotShare(server);
  }
  const auto moved = allotments.MovedShares();
  const auto cap = moved.find("cap");
  process->moved_requests_share = cap == moved.end() ? 0 : cap->second;
  allotments.OnPublished();
  AdmitRequests(process.get());
}

void AllotmentWorld::AdmitRequests(Process* process) {
  for (const auto& [server, share] : process->slot_shares) {
    auto& end_times = process->in_flight[server];
    while (static_cast<int64_t>(end_times.size()) < share) {
      end_times.push_back(now_ + kRequestDeadline * random_.Unit());
    }
  }
  // Pauses between requests at random, so that bursts follow.
  if (random_.Below(4) != 0) {
    return;
  }
  const absl::Time now = now_ + process->clock_offset;
  while (process->moved_window->TryAdd(now, 1, process->moved_requests_share)) {
    admitted_moved_requests_.emplace_back(now_, 1);
  }
}

int64_t AllotmentWorld::LargestKnownTotal(bool moved,
                                          absl::Duration span) const {
  int64_t largest = 0;
  for (const auto& [time, totals] : known_totals_) {
    if (time >= now_ - span) {
      largest = std::max(largest, moved ? totals.second : totals.first);
    }
  }
  return largest;
}

void AllotmentWorld::CheckTotals() {
  std::pair<int64_t, int64_t> current_totals;
  std::map<std::string, int64_t> requests_in_flight;
  for (const auto& process : processes_) {
    for (auto& [server, end_times] : process->in_flight) {
      end_times.erase(
          std::remove_if(end_times.begin(), end_times.end(),
                         [&](absl::Time end) { return end < now_; }),
          end_times.end());
      requests_in_flight[server] += static_cast<int64_t>(end_times.size());
    }
    const auto& servers = process->configuration->backend_servers();
    if (!IsRunning(*process) || servers.empty()) {
      continue;
    }
    current_totals.first =
        std::max<int64_t>(current_totals.first, servers.begin()->second.slots);
    current_totals.second = std::max(
        current_totals.second,
        control::MaxMovedRequestsPerWindow(
            *process->configuration, process->configuration->caps().at("cap")));
  }
  if (known_totals_.size() > 1 &&
      known_totals_.back().second == current_totals &&
      known_totals_[known_totals_.size() - 2].second == current_totals) {
    known_totals_.back().first = now_;
  } else {
    known_totals_.emplace_back(now_, current_totals);
  }
  while (known_totals_.front().first < now_ - kCapWindow) {
    known_totals_.pop_front();
  }
  while (!admitted_moved_requests_.empty() &&
         admitted_moved_requests_.front().first <= now_ - kCapWindow) {
    admitted_moved_requests_.pop_front();
  }
  if (!violation_.empty()) {
    return;
  }
  const int64_t slots = LargestKnownTotal(false, kRequestDeadline);
  for (const auto& [server, count] : requests_in_flight) {
    if (count > slots) {
      violation_ = absl::StrCat(count, " requests in flight at ", server);
    }
  }
  if (static_cast<int64_t>(admitted_moved_requests_.size()) >
      LargestKnownTotal(true, kCapWindow)) {
    violation_ = absl::StrCat(admitted_moved_requests_.size(),
                              " moved requests in a window");
  }
}

void AllotmentWorld::RunStep() {
  now_ += kStepDuration;
  for (auto restart = pending_restarts_.begin();
       restart != pending_restarts_.end();) {
    if (now_ < restart->first) {
      ++restart;
      continue;
    }
    const auto names = restart->second;
    restart = pending_restarts_.erase(restart);
    StartProcess(names.first, names.second);
  }
  RunStoreStep();
  const std::vector<std::shared_ptr<Process>> processes = processes_;
  for (const auto& process : processes) {
    if (!IsRunning(*process)) {
      continue;
    }
    RunProcessStep(process);
    if (process->is_leaving && random_.Below(300) == 0) {
      process->is_dead = true;
      list_[process->identity.id.name].unlisted_from = now_ + absl::Seconds(10);
    }
  }
  CheckTotals();
}

void AllotmentWorld::RunFor(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (now_ < end) {
    RunStep();
  }
}

std::string AllotmentWorld::UnconvergedReason() const {
  std::map<std::string, int64_t> shares;
  for (const auto& process : processes_) {
    if (process->is_dead) {
      continue;
    }
    if (!process->allotments->is_confirmed()) {
      return absl::StrCat(process->identity.id.name, " is not confirmed");
    }
    for (const auto& [server, share] : process->slot_shares) {
      shares[server] += share;
    }
    shares["cap"] += process->moved_requests_share;
  }
  std::map<std::string, int64_t> expected_totals = {{"s1", slots_per_server_},
                                                    {"s2", slots_per_server_},
                                                    {"s3", slots_per_server_}};
  expected_totals["cap"] = control::MaxMovedRequestsPerWindow(
      *configuration_, configuration_->caps().at("cap"));
  for (const auto& [name, total] : expected_totals) {
    if (shares[name] != total) {
      return absl::StrCat("shares of ", name, " add up to ", shares[name],
                          " of ", total);
    }
  }
  return "";
}

}  // namespace baobabwall::test
