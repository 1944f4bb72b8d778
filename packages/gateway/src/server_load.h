#ifndef GATEWAY_SRC_SERVER_LOAD_H_
#define GATEWAY_SRC_SERVER_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/cached_objects.h"

namespace baobabwall::gateway {

/// \brief Load that a backend server reports in its answers.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes on the machine at this moment, relative to the usual
  /// time; nullopt if the server does not report it.
  std::optional<double> work_factor = std::nullopt;
  /// Whether the report has further figures that could not be decoded.
  bool is_partly_malformed = false;
};

/// \brief What the head of an answer says about the request limit of its
/// server.
struct LimitReport {
  bool is_known = false;  ///< Whether the head was received and is readable.
  /// Requests per second that the server takes from all instances together;
  /// nullopt if the server names no limit.
  std::optional<double> per_s = std::nullopt;
};

/// \brief What a backend server has said about itself in its answers. Holds for
/// one incarnation of the server, whatever its entry in the store says.
struct ServerNotice {
  bool is_leaving = false;
  /// The server wants no requests from this instance until then.
  absl::Time paused_until = absl::InfinitePast();

  bool IsInForce(absl::Time now) const {
    return is_leaving || now < paused_until;
  }
};

/// \brief Load, speed and failures of one backend server as observed by this
/// instance. Not thread-safe.
class ServerLoad {
 public:
  /// Weight of one answer in the moving averages of slowness and of failures.
  static constexpr double kSampleWeight = 0.15;
  /// Maximum age of a reported load that is used. Most requests complete within
  /// this time, so an older report is out of date.
  static constexpr absl::Duration kMaxReportAge = absl::Milliseconds(400);
  /// Time constant of the decay of slowness and failures. The decay lets a
  /// recovered server get requests again.
  static constexpr absl::Duration kDecayTime = absl::Seconds(4);
  /// Time constant of the decay of a reported work factor. The speed of a
  /// machine changes about every 600 ms, so that a report is on average out of
  /// date after half of this time.
  static constexpr absl::Duration kWorkFactorDecayTime =
      absl::Milliseconds(300);
  /// Time for which a server gets no new requests after a failed connection;
  /// doubled by each further failure up to kMaxPause.
  static constexpr absl::Duration kInitialPause = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxPause = absl::Seconds(4);

  explicit ServerLoad(std::shared_ptr<const BackendServer> server)
      : server_(std::move(server)),
        hash_(HashOf(server_->id)),
        limit_key_(static_cast<uint32_t>(
            base::StableHash(server_->id, server_->incarnation))),
        cold_until_(server_->cold_until),
        requests_in_last_second_(absl::Seconds(1)) {}

  static uint32_t HashOf(absl::string_view id) {
    return static_cast<uint32_t>(base::StableHash(id));
  }

  /// \returns the hash that identifies the server in heartbeats.
  uint32_t hash() const { return hash_; }
  /// \returns the hash that identifies this incarnation of the server in the
  /// heartbeats' limits.
  uint32_t limit_key() const { return limit_key_; }

  const BackendServer& server() const { return *server_; }
  /// \brief Replaces the description by a newer one of the same incarnation.
  void Update(std::shared_ptr<const BackendServer> server) {
    server_ = std::move(server);
    cold_until_ = std::max(cold_until_, server_->cold_until);
  }

  /// \returns the requests that this instance has in flight at the server.
  int own_in_flight() const { return own_in_flight_; }

  void SetPeersInFlight(int in_flight) { peers_in_flight_ = in_flight; }

  /// \returns the estimated number of requests of all instances at the server.
  double EstimateInFlight(absl::Time now) const;

  /// \returns the time since the server last reported its load; nullopt if the
  /// server has never reported.
  std::optional<absl::Duration> ReportAge(absl::Time now) const;

  /// \returns the slowness: measured work time divided by the expected work
  /// time; 1 is normal.
  double Slowness(absl::Time now) const;

  /// \returns how long work probably takes on the machine at this moment,
  /// relative to the usual time, based on the last reported work factor; 1 if
  /// the server does not report it.
  double WorkFactor(absl::Time now) const;

  /// \returns the fraction of the requests that fail, 0 to 1.
  double FailureRatio(absl::Time now) const;

  CachedObjects& cached_objects() { return cached_objects_; }
  const CachedObjects& cached_objects() const { return cached_objects_; }

  /// \returns whether the server gets no new requests at this time, because it
  /// was unreachable or because of its own notice.
  bool IsPaused(absl::Time now) const {
    return now < paused_until_ || notice_.IsInForce(now);
  }
  const ServerNotice& notice() const { return notice_; }
  void SetNotice(const ServerNotice& notice) { notice_ = notice; }
  /// \brief Records that the server shuts down soon.
  /// \returns false if this was known.
  bool MarkLeaving() { return !std::exchange(notice_.is_leaving, true); }
  /// \brief Records that the server wants no requests. An earlier, longer pause
  /// is not shortened.
  void PauseUntil(absl::Time until) {
    notice_.paused_until = std::max(notice_.paused_until, until);
  }
  bool IsCold(absl::Time now) const { return now < cold_until_; }

  void OnRequestStart(absl::Time now);
  /// \brief Called when an attempt ends with any result.
  void OnRequestEnd() { --own_in_flight_; }
  void RecordReportedLoad(const ReportedLoad& load, absl::Time now);
  /// \brief Records that a report was partly malformed.
  /// \returns false if this was known.
  bool MarkMalformedReport() {
    return !std::exchange(has_malformed_report_, true);
  }
  /// \param ratio work time divided by the expected work time.
  void RecordWorkTimeRatio(double ratio, absl::Time now);
  void RecordOutcome(bool is_failure, absl::Time now);
  /// \brief Called when no connection could be opened or the server no longer
  /// runs at its address. Pauses the server.
  /// \param warmup warm-up time that follows the pause.
  /// \returns the length of the pause; zero if the server was already paused.
  absl::Duration OnUnreachable(absl::Duration warmup, absl::Time now);
  /// \brief Resets the count of failed connections.
  /// \returns whether the previous connection attempt had failed.
  bool OnReachable() {
    return std::exchange(consecutive_connect_failures_, 0) > 0;
  }
  void SetColdUntil(absl::Time until) { cold_until_ = until; }

  /// \returns whether this instance has sent fewer than `limit` requests to the
  /// server in the last second.
  bool IsBelowColdRate(int64_t limit, absl::Time now);

 private:
  double DecayFactor(absl::Time since, absl::Time now) const;

  std::shared_ptr<const BackendServer> server_;
  uint32_t hash_;
  uint32_t limit_key_;
  absl::Time cold_until_;  ///< End of the warm-up time.
  CachedObjects cached_objects_;
  int own_in_flight_ = 0;
  int peers_in_flight_ = 0;
  double reported_others_in_flight_ = 0;
  absl::Time reported_at_ = absl::InfinitePast();
  double work_factor_ = 1;
  absl::Time work_factor_reported_at_ = absl::InfinitePast();
  bool has_malformed_report_ = false;
  double slowness_ = 1;
  absl::Time slowness_updated_at_ = absl::InfinitePast();
  double failure_ratio_ = 0;
  absl::Time failure_ratio_updated_at_ = absl::InfinitePast();
  int consecutive_connect_failures_ = 0;
  /// End of the pause after a failed connection.
  absl::Time paused_until_ = absl::InfinitePast();
  ServerNotice notice_;
  base::SlidingWindow requests_in_last_second_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_SERVER_LOAD_H_
