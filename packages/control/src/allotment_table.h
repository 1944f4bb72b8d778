#ifndef CONTROL_SRC_ALLOTMENT_TABLE_H_
#define CONTROL_SRC_ALLOTMENT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "base/base.h"

/// \brief Tables that divide totals among holders in advance.
///
/// The table of a zone divides backend server slots, moved requests and link
/// bytes among instances. The split table divides moved requests and link bytes
/// among zones. Both tables have the same format and the same rules.
namespace baobabwall::control {

/// Each total has a key that consists of one of these prefixes and the name of
/// the resource.
inline constexpr absl::string_view kSlotsPrefix = "slots/";
inline constexpr absl::string_view kMovedPrefix = "moved/";
inline constexpr absl::string_view kLinkPrefix = "link/";

/// Store key of the split table, which divides caps and links among zones.
inline constexpr absl::string_view kSplitKey = "allotment-split";

/// \returns the store key of a zone's table.
std::string AllotmentKey(absl::string_view zone);

/// \brief The share of one holder in one total.
struct AllotmentShare {
  /// Amount that the holder may use once it has the table of this epoch.
  int64_t target = 0;
  /// Amount that the holder may still be using. This is the largest target
  /// since the last epoch that the holder acknowledged, and is never less than
  /// the target.
  int64_t reserved = 0;
  int64_t last_lowered_epoch = 0;  ///< Last epoch that lowered the target.

  friend bool operator==(const AllotmentShare& a, const AllotmentShare& b) {
    return a.target == b.target && a.reserved == b.reserved &&
           a.last_lowered_epoch == b.last_lowered_epoch;
  }
};

/// \brief One total and its shares.
struct AllotmentTotal {
  /// The sum of the reserved amounts never exceeds this total.
  int64_t total = 0;
  /// Total over all zones that the configuration declared when the shares were
  /// computed. A holder whose configuration declares a lower total scales its
  /// share down at once.
  int64_t declared_total = 0;
  /// Keyed by holder name.
  std::map<std::string, AllotmentShare, std::less<>> shares;

  int64_t ReservedSum() const;
  int64_t TargetSum() const;
};

/// \brief The decision about a drain, made once for the whole zone.
struct DrainRecord {
  /// Version of the drain resource that the decision applies to.
  int64_t version = 0;
  bool is_started = false;  ///< False if the drain was refused.
};

/// \brief A table as stored; each write increments the epoch by one.
struct AllotmentTable {
  int64_t epoch = 0;
  int64_t config_revision = 0;  ///< Revision of the writer's configuration.
  int64_t split_epoch = 0;      ///< Epoch of the writer's split table.
  std::map<std::string, AllotmentTotal, std::less<>> totals;
  /// Number of times that a holder has confirmed its shares after a pause.
  /// \sa Allotments
  std::map<std::string, int64_t, std::less<>> confirmations;
  /// Keyed by drain name.
  std::map<std::string, DrainRecord, std::less<>> drains;

  const AllotmentShare* Find(absl::string_view key,
                             absl::string_view holder) const;
  /// \returns true if any amount is reserved for the holder.
  bool HasReservation(absl::string_view holder) const;
};

/// \brief Scales a share down to a lowered total.
///
/// The result is rounded down. If the sum of the shares was within the previous
/// total, the sum of the scaled shares is therefore within the new total.
/// \param target the share under the previous total.
/// \param declared_total the total that is declared now.
/// \param previous_declared_total the total that was declared when the share
/// was computed.
int64_t ScaleShare(int64_t target,
                   int64_t declared_total,
                   int64_t previous_declared_total);

/// \brief Reports every share that violates the rules of a table: a negative
/// amount, a target above the reserved amount, or reserved amounts whose sum
/// exceeds the total.
void CheckAllotmentTable(const AllotmentTable& table, base::Findings* findings);

/// \returns JSON text. Holders are listed once and shares refer to them by
/// index; shares with no reserved amount are omitted.
std::string EncodeAllotmentTable(const AllotmentTable& table);

/// \brief Decodes and checks a table.
/// \param findings receives every problem with its path in the text.
/// \returns nullopt if there was any finding.
std::optional<AllotmentTable> DecodeAllotmentTable(absl::string_view text,
                                                   base::Findings* findings);

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_ALLOTMENT_TABLE_H_
