#ifndef BASE_SRC_FINDING_H_
#define BASE_SRC_FINDING_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace baobabwall::base {

/// \brief A problem in an input and the location of the problem.
struct Finding {
  std::string place;   ///< File and line, or path within a document.
  std::string what;    ///< Description of the problem.
  std::string remedy;  ///< Suggested correction; may be empty.
};

/// \brief Collects all findings of an input so that a single report lists them.
class Findings {
 public:
  void Add(absl::string_view place,
           absl::string_view what,
           absl::string_view remedy = {});
  void Append(const Findings& other);

  bool empty() const { return items_.empty(); }
  absl::Span<const Finding> items() const { return items_; }

  /// \returns a line "place: what (remedy)" for each finding.
  std::string ToString() const;

 private:
  std::vector<Finding> items_;
};

/// \brief Finds the candidate with the smallest edit distance to a name.
/// \param name an unknown name.
/// \param candidates the known names.
/// \returns the nearest candidate, or an empty view if every edit distance is
/// greater than half the length of the name.
absl::string_view NearestName(absl::string_view name,
                              absl::Span<const absl::string_view> candidates);

}  // namespace baobabwall::base

#endif  // BASE_SRC_FINDING_H_
