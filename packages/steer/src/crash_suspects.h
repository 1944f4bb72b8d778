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
/// server a suspect. From then on at most one attempt of a suspect is in
/// flight, and at most one suspect at each backend server, so that a second
/// crash identifies its cause. A second crash counts only for an attempt that
/// began after the first crash: copies that were in flight at several backend
/// servers when a whole rack failed are not quarantined.
///
/// With c copies in flight at the first crash, one fingerprint can crash at
/// most c + 1 backend servers of one instance within kQuarantineDuration.
class CrashSuspects {
 public:
  /// Time for which a request stays a suspect after a crash.
  static constexpr absl::Duration kSuspectLifetime = absl::Seconds(60);
  static constexpr absl::Duration kQuarantineDuration = absl::Minutes(10);

  /// Maximum number of suspects, and of quarantined fingerprints; the oldest
  /// entries are evicted. One crash adds at most as many suspects as the
  /// backend server has slots (5).
  static constexpr size_t kMaxSuspects = 1024;

  enum class Admission { kAllowed, kInFlight, kQuarantined };

  /// \returns whether an attempt with the fingerprint may start now.
  Admission CheckAdmission(uint64_t fingerprint, absl::Time now) const;

  /// \returns end of the quarantine; InfinitePast() without a
  /// quarantine.
  absl::Time QuarantinedUntil(uint64_t fingerprint, absl::Time now) const;

  bool IsSuspect(uint64_t fingerprint, absl::Time now) const;

  /// \returns time of the first crash if the fingerprint is a suspect.
  std::optional<absl::Time> CrashedAt(uint64_t fingerprint,
                                      absl::Time now) const;

  /// \returns backend servers at which a suspect with another fingerprint is in
  /// flight.
  std::set<std::string> ServersWithSuspects(uint64_t fingerprint) const;

  /// \brief Records the start of an attempt at a backend server.
  void OnStart(uint64_t fingerprint, const std::string& server, absl::Time now);

  /// \brief Records the end of an attempt with any result.
  void OnEnd(uint64_t fingerprint);

  /// \brief Records a complete answer, after which the fingerprint is no longer
  /// a suspect.
  void OnCompleted(uint64_t fingerprint);

  /// \brief Records that the connection of an attempt broke before an answer.
  /// \param was_suspect whether the fingerprint was a suspect when the attempt
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
    /// Backend server at which the suspect is in flight; empty if the suspect
    /// is not in flight.
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
