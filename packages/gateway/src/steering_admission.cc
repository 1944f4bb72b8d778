#include <utility>

#include "gateway/src/http_status.h"
#include "gateway/src/steering.h"

namespace baobabwall::gateway {

bool Steering::Admit(Request* request,
                     const Credentials& credentials,
                     absl::Time now,
                     SteeringActions* actions) {
  if (config_ == nullptr) {
    RefuseRequest(request, kHttpUnavailable, "no-configuration", now, actions);
    return false;
  }
  request->route =
      config_->FindRoute(request->caller.host, request->caller.path);
  if (request->route == nullptr) {
    RefuseRequest(request, kHttpNotFound, "no-route", now, actions);
    return false;
  }
  Authorization authorization =
      Authorize(*config_, *request->route, credentials, config_freshness_);
  if (!authorization.is_granted()) {
    request->needs_newer_config = true;
    RefuseRequest(request, authorization.status, authorization.refusal, now,
                  actions);
    return false;
  }
  request->account = std::move(authorization.account);
  request->allowed_regions =
      IntersectRegions(*request->route, request->account.get());
  if (request->allowed_regions.is_restricted &&
      request->allowed_regions.regions.empty()) {
    request->needs_newer_config = true;
    RefuseRequest(request, kHttpUnavailable, "no-allowed-region", now, actions);
    return false;
  }
  if (request->account != nullptr) {
    request->quota = quotas_.Admit(*request->account, now);
  }
  if (!request->quota.is_admitted) {
    RefuseRequest(request, kHttpTooManyRequests, "quota", now, actions);
    return false;
  }
  return true;
}

std::optional<Refuse> Steering::CheckHead(absl::string_view host,
                                          absl::string_view path,
                                          const Credentials& credentials) {
  const Route* route =
      config_ == nullptr ? nullptr : config_->FindRoute(host, path);
  if (route == nullptr) {
    // Refused by OnRequest(), which also records the reason.
    return std::nullopt;
  }
  const Authorization authorization =
      Authorize(*config_, *route, credentials, config_freshness_);
  if (authorization.is_granted()) {
    return std::nullopt;
  }
  Refuse refuse;
  refuse.status = authorization.status;
  refuse.reason = std::string(authorization.refusal);
  if (refuse.status == kHttpUnavailable) {
    refuse.retry_after = kNoConfigRetryAfter;
  }
  return refuse;
}

void Steering::RecordHeadRefusal(const CallerRequest& caller,
                                 const Refuse& refuse,
                                 absl::Time now) {
  last_request_at_ = now;
  if (!hooks_.on_request_end) {
    return;
  }
  RequestRecord record;
  record.request = &caller;
  if (config_ != nullptr) {
    const Route* route = config_->FindRoute(caller.host, caller.path);
    record.route = route == nullptr ? "" : route->name;
    record.config_version = config_->version();
  }
  record.status = refuse.status;
  record.reason = refuse.reason;
  record.retry_after = refuse.retry_after.value_or(absl::ZeroDuration());
  hooks_.on_request_end(record);
}

bool Steering::MayOutlastProcess(const Request& request, absl::Time now) const {
  if (request.deadline <= stop_time_) {
    return false;
  }
  if (!request.route->is_idempotent) {
    return true;
  }
  const auto longest = longest_answer_by_route_.find(request.route->name);
  const absl::Duration took = longest == longest_answer_by_route_.end()
                                  ? request.route->latency_objective
                                  : longest->second.took;
  return now + took * kStopTimeFactor > stop_time_;
}

void Steering::RecordAnswerTime(const Request& request, absl::Time now) {
  const absl::Duration took = now - request.caller.arrival;
  LongestAnswer& longest = longest_answer_by_route_[request.route->name];
  if (took >= longest.took || now - longest.at > kLongestAnswerAge) {
    longest = {took, now};
  }
}

}  // namespace baobabwall::gateway
