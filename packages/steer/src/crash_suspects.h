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
/// A request is known by its fingerprint; 0 means that it has none. The first
/// crash makes every request in flight at the backend server a suspect. From
/// then on at most one attempt of a suspect is in flight, and at most one
/// suspect at a backend server, so that a second crash names one of them. It
/// counts only for an attempt that began after the first crash: copies that
/// were in flight at several backend servers when a whole rack failed are not
/// taken for its cause.
///
/// With c copies in flight at the first crash, one instance loses at most
/// c + 1 backend servers to a fingerprint in kQuarantine.
class CrashSuspects {
 public:
  static constexpr absl::Duration kMemory = absl::Seconds(60);
  static constexpr absl::Duration kQuarantine = absl::Minutes(10);

  /// Most suspects and most quarantined fingerprints kept, the newest first.
  /// A crash leaves as many suspects as the backend server has slots (5).
  static constexpr size_t kMaxSuspects = 1024;

  enum class Verdict { kFree, kBusy, kQuarantined };

  Verdict Judge(uint64_t fingerprint, absl::Time now) const;

  /// \returns end of the quarantine; InfinitePast() if there is none.
  absl::Time QuarantinedUntil(uint64_t fingerprint, absl::Time now) const;

  bool IsSuspect(uint64_t fingerprint, absl::Time now) const;

  /// \returns when its first crash was, if it is a suspect.
  std::optional<absl::Time> CrashedAt(uint64_t fingerprint,
                                      absl::Time now) const;

  /// \returns backend servers at which another suspect is in flight.
  std::set<std::string> ServersWithSuspects(uint64_t fingerprint) const;

  /// \brief An attempt at a backend server begins.
  void OnStart(uint64_t fingerprint, const std::string& server, absl::Time now);

  /// \brief The attempt ended, however it did.
  void OnEnd(uint64_t fingerprint);

  void OnCompleted(uint64_t fingerprint);

  /// \brief The connection of an attempt broke before an answer.
  /// \param was_suspect whether the fingerprint was a suspect when the attempt
  /// began.
  /// \returns a notice if the fingerprint is now in quarantine.
  std::optional<QuarantineNotice> OnCrash(uint64_t fingerprint,
                                          bool was_suspect,
                                          absl::Time now);

  /// \brief Takes over the quarantines of the zone.
  void Publish(const std::map<uint64_t, absl::Time>& quarantined);

  size_t size() const { return suspects_.size() + quarantined_.size(); }

 private:
  struct Suspect {
    absl::Time crashed_at;
    std::string server;  ///< Where it is in flight; empty if nowhere.
  };

  bool IsFresh(const Suspect& suspect, absl::Time now) const;

  absl::flat_hash_map<uint64_t, Suspect> suspects_;
  absl::flat_hash_map<uint64_t, absl::Time> quarantined_;
  std::map<uint64_t, absl::Time> of_zone_;
  absl::flat_hash_map<uint64_t, int> in_flight_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_CRASH_SUSPECTS_H_
