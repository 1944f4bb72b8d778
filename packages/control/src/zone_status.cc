#include "control/src/zone_status.h"

#include <algorithm>
#include <set>
#include <variant>

#include "control/src/reader_rank.h"

namespace baobabwall::control {
namespace internal {

constexpr absl::Duration kMinReportInterval = absl::Seconds(3);
// Maximum number of repeated reports that a reader receives per
// kMinReportInterval.
constexpr double kMaxReportsPerInterval = 20;
constexpr absl::Duration kMinExchangeInterval = absl::Seconds(1);
constexpr absl::Duration kUnchangedExchangeInterval = absl::Seconds(5);
// This interval is a third of the retention time, so that a status does not
// expire if two messages are lost.
constexpr absl::Duration kUnchangedReplyInterval = absl::Seconds(20);
constexpr absl::Duration kRevisionSettleTime = absl::Seconds(2);
constexpr absl::Duration kStatusRetention = absl::Seconds(60);
constexpr size_t kMaxRevisionTimes = 64;

bool HasSameContent(const ZoneStatus& a, const ZoneStatus& b) {
  if (a.lowest_revision != b.lowest_revision ||
      a.instance_count != b.instance_count ||
      a.behind_count != b.behind_count || a.behind.size() != b.behind.size()) {
    return false;
  }
  for (size_t i = 0; i < a.behind.size(); ++i) {
    if (a.behind[i].name != b.behind[i].name ||
        a.behind[i].revision != b.behind[i].revision) {
      return false;
    }
  }
  return true;
}

}  // namespace internal

ZoneStatusTracker::ZoneStatusTracker(Identity self,
                                     const Membership* membership)
    : self_(std::move(self)), membership_(membership) {}

std::vector<ZoneStatus> ZoneStatusTracker::statuses() const {
  std::vector<ZoneStatus> statuses;
  for (const auto& [zone, status] : status_by_zone_) {
    statuses.push_back(status);
  }
  return statuses;
}

void ZoneStatusTracker::OnMessage(const PeerMessage& message,
                                  absl::Time now,
                                  Actions* actions) {
  if (const auto* report = std::get_if<ZoneStatusReport>(&message.payload)) {
    for (const ZoneStatus& status : report->zones) {
      if (is_reader_ && status.zone == self_.zone) {
        continue;  // The reader's own aggregate is newer.
      }
      const auto [known, is_new] = status_by_zone_.emplace(status.zone, status);
      if (is_new) {
        ++content_version_;
      } else if (status.reported > known->second.reported) {
        content_version_ +=
            internal::HasSameContent(known->second, status) ? 0 : 1;
        known->second = status;
      }
    }
    return;
  }
  if (!std::holds_alternative<AppliedReport>(message.payload) || !is_reader_) {
    return;
  }
  if (membership_->Find(message.sender.id.name) == nullptr) {
    return;
  }
  AggregateOwnZone(now);
  LastReply& last_reply = last_replies_[message.sender.id.name];
  // While a revision is being distributed, each report changes the aggregates.
  // Replies therefore wait until this instance has applied no new revision for
  // kRevisionSettleTime; the reply to the next regular report then contains the
  // result.
  const bool is_settled =
      revision_times_.empty() ||
      now - revision_times_.back().second >= internal::kRevisionSettleTime;
  if ((last_reply.content_version != content_version_ && is_settled) ||
      now - last_reply.time >= internal::kUnchangedReplyInterval) {
    last_reply = {content_version_, now};
    actions->push_back(SendPeer{message.sender, ZoneStatusReport{statuses()}});
  }
}

absl::Time ZoneStatusTracker::BehindSince(int64_t revision) const {
  for (const auto& [newer_revision, time] : revision_times_) {
    if (newer_revision > revision) {
      return time;
    }
  }
  return revision_times_.empty() ? absl::InfinitePast()
                                 : revision_times_.back().second;
}

void ZoneStatusTracker::AggregateOwnZone(absl::Time now) {
  const int64_t own_revision = membership_->heartbeat().config_revision;
  ZoneStatus status;
  status.zone = self_.zone;
  status.lowest_revision = own_revision;
  status.instance_count = 1;
  status.reported = now;
  for (const Member* member : membership_->LiveInZone(self_.zone)) {
    const int64_t revision = member->heartbeat.config_revision;
    ++status.instance_count;
    status.lowest_revision = std::min(status.lowest_revision, revision);
    if (revision >= own_revision) {
      continue;
    }
    if (++status.behind_count <= kMaxBehindNamed) {
      status.behind.push_back(
          {member->identity.id.name, revision, BehindSince(revision)});
    }
  }
  const auto known = status_by_zone_.find(self_.zone);
  const bool has_lowest_revision_changed =
      known == status_by_zone_.end() ||
      known->second.lowest_revision != status.lowest_revision;
  status.since = has_lowest_revision_changed ? now : known->second.since;
  if (known == status_by_zone_.end() ||
      !internal::HasSameContent(known->second, status)) {
    ++content_version_;
    is_own_zone_changed_ = true;
  }
  status_by_zone_[self_.zone] = std::move(status);
}

void ZoneStatusTracker::Report(absl::Time now, Actions* actions) {
  const Heartbeat& heartbeat = membership_->heartbeat();
  const std::pair<int64_t, int64_t> current_state = {heartbeat.config_revision,
                                                     heartbeat.allotment_epoch};
  if (current_state == last_reported_state_ && now < next_report_time_) {
    return;
  }
  last_reported_state_ = current_state;
  std::vector<std::string> ranked_names = membership_->RankedInZone(self_.zone);
  // Members of a large zone repeat their reports less often, so that the number
  // of repeated reports that a reader receives is constant.
  next_report_time_ =
      now + internal::kMinReportInterval *
                std::max(1.0, static_cast<double>(ranked_names.size()) /
                                  internal::kMaxReportsPerInterval);
  ranked_names.resize(std::min(ranked_names.size(), kReadersPerZone));
  for (const std::string& name : ranked_names) {
    const Member* reader = membership_->Find(name);
    if (reader != nullptr) {
      actions->push_back(SendPeer{reader->identity, AppliedReport{heartbeat}});
    }
  }
}

void ZoneStatusTracker::Exchange(absl::Time now, Actions* actions) {
  std::set<std::string> zones;
  for (const auto& [name, member] : membership_->members()) {
    if (member.is_live() && member.identity.zone != self_.zone) {
      zones.insert(member.identity.zone);
    }
  }
  const ZoneStatusReport report{{status_by_zone_[self_.zone]}};
  for (const std::string& zone : zones) {
    std::vector<std::string> ranked_names = membership_->RankedInZone(zone);
    ranked_names.resize(std::min(ranked_names.size(), kReadersPerZone));
    for (const std::string& name : ranked_names) {
      actions->push_back(SendPeer{membership_->Find(name)->identity, report});
    }
  }
  last_exchange_time_ = now;
}

void ZoneStatusTracker::OnTick(bool is_reader,
                               absl::Time now,
                               Actions* actions) {
  is_reader_ = is_reader;
  const int64_t own_revision = membership_->heartbeat().config_revision;
  if (revision_times_.empty() || own_revision > revision_times_.back().first) {
    revision_times_.emplace_back(own_revision, now);
    if (revision_times_.size() > internal::kMaxRevisionTimes) {
      revision_times_.pop_front();
    }
  }
  Report(now, actions);
  for (auto it = status_by_zone_.begin(); it != status_by_zone_.end();) {
    const bool is_expired =
        now - it->second.reported > internal::kStatusRetention;
    it = is_expired ? status_by_zone_.erase(it) : std::next(it);
  }
  for (auto it = last_replies_.begin(); it != last_replies_.end();) {
    const bool is_unknown_member = membership_->Find(it->first) == nullptr;
    it = is_unknown_member ? last_replies_.erase(it) : std::next(it);
  }
  if (!is_reader || now < next_exchange_time_) {
    return;
  }
  next_exchange_time_ = now + internal::kMinExchangeInterval;
  AggregateOwnZone(now);
  if (is_own_zone_changed_ ||
      now - last_exchange_time_ >= internal::kUnchangedExchangeInterval) {
    is_own_zone_changed_ = false;
    Exchange(now, actions);
  }
}

}  // namespace baobabwall::control
