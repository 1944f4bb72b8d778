#ifndef GATEWAY_SRC_SERVER_LOAD_H_
#define GATEWAY_SRC_SERVER_LOAD_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/object_memory.h"

namespace baobabwall::gateway {

/// \brief Load that a backend server reports with its answers.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// \brief What this instance knows of one backend server: its load, speed and
/// failures. Not thread-safe.
class ServerLoad {
 public:
  /// Weight of one answer in the means of speed and failures.
  static constexpr double kMeanWeight = 0.15;
  /// A reported load loses its meaning: most requests last less than this.
  static constexpr absl::Duration kReportAge = absl::Milliseconds(400);
  /// Speed and failures are forgotten at this time constant, so that a server
  /// that recovered gets requests again.
  static constexpr absl::Duration kForget = absl::Seconds(4);
  /// First time without new work after a failed connection; doubled by each
  /// further failure up to kMaxPause.
  static constexpr absl::Duration kPause = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxPause = absl::Seconds(4);

  explicit ServerLoad(const BackendServer& server)
      : server_(server),
        hash_(HashOf(server.id)),
        requests_of_second_(absl::Seconds(1)) {}

  static uint32_t HashOf(absl::string_view id) {
    return static_cast<uint32_t>(base::StableHash(id));
  }

  /// \returns what names it in heartbeats.
  uint32_t hash() const { return hash_; }

  const BackendServer& server() const { return server_; }
  /// \brief Takes over a newer description of the same incarnation.
  void Update(const BackendServer& server) { server_ = server; }

  int own() const { return own_; }

  void SetPeers(int in_flight) { peers_ = in_flight; }

  /// \returns requests that are likely at the server, from all instances.
  double Total(absl::Time now) const;

  /// \returns time since the server last reported its load; nullopt: never.
  std::optional<absl::Duration> ReportAge(absl::Time now) const;

  /// \returns time of work relative to other servers; 1 is usual.
  double Slowness(absl::Time now) const;

  /// \returns part of its requests that fail, 0 to 1.
  double FailureShare(absl::Time now) const;

  ObjectMemory& objects() { return objects_; }
  const ObjectMemory& objects() const { return objects_; }

  bool IsPaused(absl::Time now) const { return now < paused_until_; }
  bool IsCold(absl::Time now) const { return now < server_.cold_until; }

  void OnStart(absl::Time now);
  /// \brief An attempt ended, however it did.
  void OnEnd() { --own_; }
  void OnReport(const ReportedLoad& load, absl::Time now);
  /// \param ratio time of work divided by the usual time.
  void OnSpeed(double ratio, absl::Time now);
  void OnOutcome(bool is_failure, absl::Time now);
  /// \brief No connection could be opened, or the server runs no longer.
  /// \param cold the server counts as cold for that long after it is back.
  /// \returns time without new work from now on; zero if it had been paused.
  absl::Duration OnUnreachable(absl::Duration cold, absl::Time now);
  /// \returns whether the last connection before had failed.
  bool OnReachable() { return std::exchange(failed_connections_, 0) > 0; }
  void OnCold(absl::Time until) { server_.cold_until = until; }

  /// \returns false if a cold server has had `limit` requests in the last
  /// second.
  bool HasColdRoom(int64_t limit, absl::Time now);

 private:
  double Forgotten(absl::Time since, absl::Time now) const;

  BackendServer server_;
  uint32_t hash_;
  ObjectMemory objects_;
  int own_ = 0;
  int peers_ = 0;
  double reported_others_ = 0;
  absl::Time reported_at_ = absl::InfinitePast();
  double slowness_ = 1;
  absl::Time slowness_at_ = absl::InfinitePast();
  double failures_ = 0;
  absl::Time failures_at_ = absl::InfinitePast();
  int failed_connections_ = 0;
  absl::Time paused_until_ = absl::InfinitePast();
  base::SlidingWindow requests_of_second_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_SERVER_LOAD_H_
