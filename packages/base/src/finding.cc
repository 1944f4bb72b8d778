#include "base/src/finding.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"

namespace baobabwall::base {
namespace internal {

size_t EditDistance(absl::string_view a, absl::string_view b) {
  std::vector<size_t> distances(b.size() + 1);
  std::iota(distances.begin(), distances.end(), 0u);
  for (size_t i = 0; i < a.size(); ++i) {
    size_t diagonal = distances[0];
    distances[0] = i + 1;
    for (size_t j = 0; j < b.size(); ++j) {
      const size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = distances[j + 1];
      distances[j + 1] =
          std::min({distances[j + 1] + 1, distances[j] + 1, substitution});
    }
  }
  return distances.back();
}

}  // namespace internal

void Findings::Add(absl::string_view place,
                   absl::string_view what,
                   absl::string_view remedy) {
  items_.push_back(
      {std::string(place), std::string(what), std::string(remedy)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::ToString() const {
  std::string text;
  for (const Finding& item : items_) {
    absl::StrAppend(&text, item.place, ": ", item.what);
    if (!item.remedy.empty()) {
      absl::StrAppend(&text, " (", item.remedy, ")");
    }
    text += '\n';
  }
  return text;
}

absl::string_view NearestName(absl::string_view name,
                              absl::Span<const absl::string_view> candidates) {
  absl::string_view nearest;
  size_t distance_limit = name.size() / 2 + 1;
  for (absl::string_view candidate : candidates) {
    const size_t distance = internal::EditDistance(name, candidate);
    if (distance >= distance_limit) {
      continue;
    }
    distance_limit = distance;
    nearest = candidate;
  }
  return nearest;
}

}  // namespace baobabwall::base
