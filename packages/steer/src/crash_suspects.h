#ifndef STEER_SRC_CRASH_SUSPECTS_H_
#define STEER_SRC_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "steer/src/action.h"

namespace baobabwall::steer {

/// \brief Finds requests that crash the backend servers that run them.
///
/// A fingerprint identifies a request; 0 means that the request has no
/// fingerprint. The first crash makes every request in flight at the backend
/// server suspected. From then on, each suspected request has at most one
/// attempt in flight, and each backend server runs at most one suspected
/// request, so that a second crash identifies the request that caused the
/// crash. A second crash counts only if the attempt began after the first
/// crash. Therefore a request is not quarantined if its copies were in flight
/// at several backend servers when a whole rack failed.
///
/// If c copies of a request are in flight at the first crash, requests with
/// this fingerprint that one instance sends can crash at most c + 1 backend
/// servers within kQuarantineDuration.
class CrashSuspects {
 public:
  /// Time for which a request stays suspected after a crash.
  static constexpr absl::Duration kSuspectLifetime = absl::Seconds(60);
  static constexpr absl::Duration kQuarantineDuration = absl::Minutes(10);

  /// Maximum number of suspected requests, and also the maximum number of
  /// quarantined fingerprints. The oldest entries are evicted. One crash adds
  /// at most as many suspected requests as the backend server has slots (5).
  static constexpr size_t kMaxSuspects = 1024;

  enum class Admission { kAllowed, kInFlight, kQuarantined };

  /// \returns whether an attempt with the fingerprint may start now.
  Admission CheckAdmission(uint64_t fingerprint, absl::Time now) const;

  /// \returns the end of the quarantine, or InfinitePast() if the fingerprint
  /// is not quarantined.
  absl::Time QuarantinedUntil(uint64_t fingerprint, absl::Time now) const;

  bool IsSuspect(uint64_t fingerprint, absl::Time now) const;

  /// \returns the time of the first crash if the request with the fingerprint
  /// is suspected.
  std::optional<absl::Time> CrashedAt(uint64_t fingerprint,
                                      absl::Time now) const;

  /// \returns the backend servers that currently run a suspected request with
  /// a different fingerprint.
  std::set<std::string> ServersWithSuspects(uint64_t fingerprint) const;

  /// \brief Records the start of an attempt at a backend server.
  void OnStart(uint64_t fingerprint, const std::string& server, absl::Time now);

  /// \brief Records that an attempt ended, whatever its result is.
  void OnEnd(uint64_t fingerprint);

  /// \brief Records a complete answer, after which the request with the
  /// fingerprint is no longer suspected.
  void OnCompleted(uint64_t fingerprint);

  /// \brief Records that the connection of an attempt broke before an answer.
  /// \param was_suspect whether the request was suspected when the attempt
  /// began.
  /// \returns a notice if the crash quarantined the fingerprint.
  std::optional<QuarantineNotice> OnCrash(uint64_t fingerprint,
                                          bool was_suspect,
                                          absl::Time now);

  /// \brief Replaces the quarantines that the instances of the zone published.
  void Publish(const std::map<uint64_t, absl::Time>& quarantined);

  size_t size() const { return suspects_.size() + quarantined_.size(); }

 private:
  struct Suspect {
    absl::Time crashed_at;
    /// Backend server at which the suspected request is in flight; empty if the
    /// request is not in flight.
    std::string server;
  };

  bool IsCurrent(const Suspect& suspect, absl::Time now) const;

  absl::flat_hash_map<uint64_t, Suspect> suspects_;
  absl::flat_hash_map<uint64_t, absl::Time> quarantined_;
  std::map<uint64_t, absl::Time> zone_quarantined_;
  absl::flat_hash_map<uint64_t, int> in_flight_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_CRASH_SUSPECTS_H_
