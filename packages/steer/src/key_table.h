#ifndef STEER_SRC_KEY_TABLE_H_
#define STEER_SRC_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "steer/src/event.h"
#include "steer/src/idempotency_key.h"
#include "steer/src/rules.h"

namespace baobabwall::steer {

/// \brief Result of the run of the request with an idempotency key.
struct KeyEnd {
  base::Outcome outcome = base::Outcome::kUnknown;
  int status = 0;
  bool has_answer = false;  ///< The fields below hold the complete answer.
  AnswerHeaders headers;
  std::string body;
};

/// \brief Result of the check of an arriving key.
enum class KeyStatus {
  kRun,            ///< No run is recorded; the key is now recorded as running.
  kStillRunning,   ///< The first run has not ended.
  kEnded,          ///< The run has ended; the record holds its answer.
  kDifferent,      ///< The key was used for another request.
  kTableFull,      ///< All records must be kept, so no record can be added.
  kExpired,        ///< The key has expired; its request may have run before.
  kExpiryTooLate,  ///< No lookup can have issued a key that expires so late.
};

/// \brief Idempotency keys of the requests that this incarnation has run or is
/// running.
///
/// A record is evicted only after the expiry of its key plus the longest
/// deadline, and never while the request with the key is running. A key whose
/// request was not run needs no record. When the stored answers exceed their
/// memory limit, the oldest answer of the tenant with the most answer bytes is
/// dropped; the outcome stays recorded.
class KeyTable {
 public:
  /// Default limit on the bytes of stored answers: a quarter of the 64 MB
  /// memory budget of a daemon's control overhead.
  static constexpr size_t kDefaultMaxAnswerBytes = size_t{16} << 20;

  /// Maximum ratio of the number of a tenant's records to the number of free
  /// records. A single tenant can fill 4/5 of the table. If n tenants reach
  /// this maximum, 1/(4n+1) of the table is left for other tenants.
  static constexpr size_t kMaxTenantToFreeRatio = 4;

  /// \param capacity maximum number of records.
  /// \param answer_bytes maximum total size of the stored answers.
  explicit KeyTable(size_t capacity,
                    size_t answer_bytes = kDefaultMaxAnswerBytes,
                    const Rules& rules = Rules());

  /// \brief Checks a key that this incarnation owns, and records a new key as
  /// running.
  /// \param tenant tenant of the service, to which kMaxTenantToFreeRatio
  /// applies.
  KeyStatus Begin(const std::string& text,
                  const IdempotencyKey& key,
                  const std::string& tenant,
                  uint64_t fingerprint,
                  absl::Time now);

  /// \brief Records the result of the run.
  void End(const std::string& text, KeyEnd end);

  /// \brief Evicts expired records; Begin() calls this method too.
  void Expire(absl::Time now);

  /// \returns nullptr unless the key has a record and the run of its request
  /// has ended.
  const KeyEnd* FindEnd(const std::string& text) const;

  size_t size() const { return records_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  /// Two hashes of the key text. The hashes take a quarter of the memory that
  /// the text would take. If two keys have equal hashes, the request with the
  /// second key is not run; different fingerprints reveal the collision.
  using KeyHash = std::pair<uint64_t, uint64_t>;
  /// Records sorted by eviction time, in ms since the epoch.
  using ByExpiry = std::multimap<int64_t, KeyHash>;

  struct Tenant {
    size_t records = 0;
    size_t answer_bytes = 0;
    /// Keys with a stored answer, oldest first; may contain evicted records.
    std::deque<std::pair<KeyHash, uint64_t>> stored_answers;
  };
  using Tenants = absl::node_hash_map<std::string, Tenant>;

  struct Record {
    uint64_t fingerprint = 0;
    uint64_t serial = 0;  ///< Distinguishes successive records of a key.
    Tenants::value_type* tenant = nullptr;
    int64_t expiry_ms = 0;
    ByExpiry::iterator expiry_entry;
    /// nullptr while the request with the key is running.
    std::unique_ptr<KeyEnd> end;
  };
  using Records = absl::flat_hash_map<KeyHash, Record>;

  static KeyHash HashKey(const std::string& text);
  static size_t AnswerBytes(const KeyEnd* end);
  void UpdateAnswerBytes(const Record& record, bool is_stored);
  void Erase(Records::iterator record);
  void DropOldestAnswer();
  bool IsStale(const std::pair<KeyHash, uint64_t>& entry) const;

  size_t capacity_;
  size_t max_answer_bytes_;
  Rules rules_;
  Records records_;
  ByExpiry by_expiry_;
  Tenants tenants_;
  size_t answer_bytes_ = 0;
  uint64_t last_serial_ = 0;
  /// Latest expiry of all evicted records. If a key expires at or before this
  /// time and has no record, its request is not run, because the record may
  /// have been evicted before the clock was set back.
  int64_t last_evicted_expiry_ms_ = std::numeric_limits<int64_t>::min();
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_KEY_TABLE_H_
