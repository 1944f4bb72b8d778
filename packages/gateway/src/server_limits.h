#ifndef GATEWAY_SRC_SERVER_LIMITS_H_
#define GATEWAY_SRC_SERVER_LIMITS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/base.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/holder_set.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/server_load.h"
#include "gateway/src/token_bucket.h"

namespace baobabwall::gateway {

/// \brief Keeps the requests of the whole fleet to a backend server within the
/// limit that the server names in its answers.
///
/// The bound is rate x kWindow x (1 + kOvershoot) + kSlack requests in any
/// window. Each instance decides alone: the rate is divided among the instances
/// that the directory names, and accrues as tokens; a request takes a token.
/// What all instances together may hold as tokens is bounded, too, so that the
/// bound holds whenever each of them has learned of the limit, without a store
/// call. An instance that has ended keeps its part for
/// HolderSet::kDepartedTime, because it may only be cut off.
///
/// A limit and its end are learned from the server's answers, and from the
/// heartbeats of instances that got such answers: an instance without a part
/// sends no requests to the server and so gets no answers.
///
/// Uses neither I/O nor a clock. Not thread-safe.
class ServerLimits {
 public:
  /// Length of the windows in which the limit holds.
  static constexpr absl::Duration kWindow = absl::Seconds(4);
  /// Requests that the server tolerates in a window beyond its rate: a fraction
  /// of the rate, and a number.
  static constexpr double kOvershoot = 0.5;
  static constexpr double kSlack = 5;
  /// Fraction of these requests that all instances together can hold as tokens.
  /// The rest covers different views of the instances, and requests that reach
  /// the server closer together than they were sent.
  static constexpr double kHeldRatio = 0.6;
  /// Tokens that an instance can hold at least: with less, it could send
  /// nothing. If all instances together must not hold as many, only some of
  /// them send requests to the server.
  static constexpr double kMinCapacity = 1;
  /// Part of an instance in the region of the server, relative to an instance
  /// of another region, which uses the servers of its own region first.
  static constexpr double kOwnRegionWeight = 8;
  /// Rate at which a server that names less is asked whether it still does.
  static constexpr double kMinRatePerS = 0.25;
  /// Time after the start of a process in which nothing accrues: it may not
  /// know all instances yet.
  static constexpr absl::Duration kStartDelay = absl::Seconds(2);
  /// Maximum age of a limit in a heartbeat.
  static constexpr absl::Duration kMaxNoticeAge = absl::Seconds(10);
  /// Time for which an end is reported, several heartbeats long.
  static constexpr absl::Duration kEndNoticeTime = absl::Seconds(5);
  /// An instance that has no part sends one request to a server whose limit no
  /// instance has confirmed for this time, plus a random time of up to the same
  /// length, so that not all instances ask the server at the same moment.
  static constexpr absl::Duration kProbeInterval = absl::Minutes(2);
  /// Maximum number of limits that are kept. Above it, the limit that was not
  /// confirmed for the longest time is dropped.
  static constexpr size_t kMaxLimits = 4096;

  /// Called when a server names a limit for the first time, or (nullopt) no
  /// limit any more.
  using ChangeHook =
      std::function<void(const BackendServer&, std::optional<double> per_s)>;

  ServerLimits(std::string self, ChangeHook on_change);

  /// \param announced all instances that are announced or heard of, live or
  /// not, including this one.
  /// \param live the instances among them that callers may use now. They get a
  /// part at once if they replace others in the directory.
  void SetInstances(absl::Span<const InstanceRecord> announced,
                    absl::Span<const InstanceRecord> live,
                    absl::Time now);
  void OnTick(absl::Time now);

  /// \brief Records what an answer says about the server's limit.
  /// \param sent_at time at which the request was sent. An answer without a
  /// limit counts only if the request was sent after the last answer with one.
  void OnAnswer(const ServerLoad& server,
                const LimitReport& report,
                absl::Time sent_at,
                absl::Time now);

  /// \brief Records what another instance has learned.
  void OnNotices(absl::Span<const ServerLimitNotice> notices, absl::Time now);
  /// \returns what other instances should know; at most
  /// Heartbeat::kMaxServerLimits entries, others the next time.
  std::vector<ServerLimitNotice> TakeNotices(absl::Time now);

  /// \returns whether this instance may send a request to the server now.
  /// \param region region of the server.
  bool HasToken(const ServerLoad& server,
                absl::string_view region,
                absl::Time now);
  /// \brief Records that a request is sent to the server.
  void OnRequestStart(const ServerLoad& server, absl::Time now);

  /// \returns the requests per second that the server takes from all instances
  /// together; nullopt if no limit is known.
  std::optional<double> RatePerS(const ServerLoad& server) const;

  /// \returns the number of servers whose limits are in force.
  size_t count() const { return limits_.size() - ended_count_; }

 private:
  /// What this instance may use of a limit.
  struct Part {
    double share = 0;     ///< Part of the rate that accrues here.
    double capacity = 0;  ///< Maximum number of tokens that are held here.
  };

  struct Limit {
    double per_s = 0;
    bool is_ended = false;
    /// Time of the last answer, at any instance, that told the limit or its
    /// end.
    absl::Time observed_at = absl::InfinitePast();
    /// Time at which an instance without a part may send one request.
    absl::Time probe_at = absl::InfiniteFuture();
    std::optional<Part> part;  ///< nullopt if it must be computed.
    TokenBucket bucket;
  };

  /// \returns the limit, with what has accrued since the last call; nullptr if
  /// none is in force.
  Limit* Find(const ServerLoad& server,
              absl::string_view region,
              absl::Time now);
  Part ComputePart(uint32_t key, absl::string_view region, double per_s) const;
  /// \returns whether the limit was not in force before.
  bool SetLimit(uint32_t key,
                double per_s,
                absl::Time observed_at,
                absl::Time now);
  void EndLimit(Limit* limit, absl::Time observed_at);
  void InvalidateParts();
  /// \brief Removes ended limits that are no longer reported.
  void RemoveEndedLimits(absl::Time now);
  void RemoveOldestLimit();
  absl::Time NextProbe(absl::Time now) {
    return now + kProbeInterval * (1 + random_.Unit());
  }

  std::string self_;
  ChangeHook on_change_;
  base::Random random_;
  HolderSet holders_;
  /// Instances that callers may use now because holders are not live.
  HolderSet::Regions replacements_;
  absl::Time accrues_from_ = absl::InfiniteFuture();
  /// By ServerLoad::limit_key().
  absl::flat_hash_map<uint32_t, Limit> limits_;
  size_t ended_count_ = 0;
  /// Key after which the next notices begin.
  uint32_t last_notice_key_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_SERVER_LIMITS_H_
