#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/src/gateway_control.h"

namespace baobabwall::gateway {

GatewayControl::EraCheck GatewayControl::CheckEra(
    const control::StoreAnswer& answer,
    absl::Time sent_at,
    bool is_from_peer) const {
  if (!answer.era || answer.era == era_) {
    return EraCheck::kSame;
  }
  // Another instance may not know of the restore yet, and an answer of the
  // store may have been on its way.
  const bool is_outdated =
      is_from_peer ? answer.era < era_ : sent_at < era_since_;
  return is_outdated ? EraCheck::kOutdated : EraCheck::kRestored;
}

bool GatewayControl::EnterEra(int64_t era, absl::Time now) {
  const bool is_first = !era_.has_value() && !reader_.has_complete_read();
  era_ = era;
  era_since_ = now;
  mirror_.OnEra(era);
  if (is_first) {
    return false;
  }
  hooks_.log(absl::StrCat("store: restored era=", era,
                          " read_revision=", reader_.revision()));
  ForgetPendingCalls();
  watch_probe_.OnWatchEnded();
  reader_.OnStoreRestored(now);
  registration_.OnStoreRestored(now);
  registry_.OnStoreRestored(now);
  peer_lag_ = RevisionLag();
  behind_peers_since_ = absl::InfiniteFuture();
  keep_records_until_ = now + kRecordReturnTime;
  keep_crash_reports_until_ = now + kCrashReportLease;
  is_changed_ = true;
  RepeatCrashReports(now);
  return true;
}

void GatewayControl::ForgetPendingCalls() {
  for (auto call = pending_calls_.begin(); call != pending_calls_.end();) {
    const auto pending = call++;
    const CallOwner owner = pending->second.owner;
    // The others have no effect on the store, and wait for their answers.
    if (owner != CallOwner::kWatchProbe && owner != CallOwner::kInstanceRead) {
      pending_calls_.erase(pending);
    }
  }
}

void GatewayControl::RemoveMissingRecords(
    const std::set<std::string>& existing_keys) {
  const bool keeps_records = now_ < keep_records_until_;
  for (auto known = instances_.begin(); known != instances_.end();) {
    const bool is_missing = existing_keys.count(known->first) == 0;
    if (is_missing && keeps_records) {
      missing_records_.insert(known->first);
    }
    known = is_missing && !keeps_records ? instances_.erase(known)
                                         : std::next(known);
  }
  for (const uint64_t fingerprint : crashing_requests_) {
    const auto own = own_crash_reports_.find(fingerprint);
    const bool is_own = own != own_crash_reports_.end() && now_ < own->second;
    if (!is_own && existing_keys.count(CrashKey(fingerprint)) == 0) {
      missing_crash_reports_.insert(fingerprint);
    }
  }
}

void GatewayControl::RemoveLostRecords() {
  if (now_ >= keep_records_until_) {
    for (const std::string& key : std::exchange(missing_records_, {})) {
      are_instances_changed_ =
          instances_.erase(key) > 0 || are_instances_changed_;
    }
  }
  if (now_ >= keep_crash_reports_until_) {
    for (const uint64_t fingerprint :
         std::exchange(missing_crash_reports_, {})) {
      is_changed_ = crashing_requests_.erase(fingerprint) > 0 || is_changed_;
    }
  }
}

std::string GatewayControl::CrashKey(uint64_t fingerprint) {
  return absl::StrCat(kCrashPrefix, absl::Hex(fingerprint));
}

void GatewayControl::ReportCrash(uint64_t fingerprint, absl::Time now) {
  now_ = now;
  if (!crashing_requests_.insert(fingerprint).second) {
    return;
  }
  is_changed_ = true;
  LogCrash(fingerprint, false);
  absl::erase_if(own_crash_reports_,
                 [now](const auto& report) { return now >= report.second; });
  own_crash_reports_[fingerprint] = now + kCrashReportLease;
  crashing_requests_to_report_.push_back(fingerprint);
  Call(CallOwner::kCrashLease, control::StoreLeaseGrant{kCrashReportLease});
}

void GatewayControl::RepeatCrashReports(absl::Time now) {
  crashing_requests_to_report_.clear();
  for (const auto& [fingerprint, end] : own_crash_reports_) {
    if (now >= end) {
      continue;
    }
    crashing_requests_to_report_.push_back(fingerprint);
  }
  if (!crashing_requests_to_report_.empty()) {
    Call(CallOwner::kCrashLease, control::StoreLeaseGrant{kCrashReportLease});
  }
}

void GatewayControl::LogCrash(uint64_t fingerprint, bool is_ended) {
  hooks_.log(absl::StrCat(is_ended ? "route: crashing request forgotten"
                                   : "route: crashing request stopped",
                          " fingerprint=", absl::Hex(fingerprint)));
}

void GatewayControl::WriteCrashReports(uint64_t lease) {
  for (const uint64_t fingerprint : crashing_requests_to_report_) {
    control::StoreCompareAndSwap put;
    put.key = CrashKey(fingerprint);
    put.value = self_.name;
    put.lease = lease;
    Call(CallOwner::kCrashReport, std::move(put));
  }
  crashing_requests_to_report_.clear();
}

}  // namespace baobabwall::gateway
