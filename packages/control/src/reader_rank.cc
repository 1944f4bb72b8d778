#include "control/src/reader_rank.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/base.h"

namespace baobabwall::control {

void SortByReaderRank(absl::string_view zone, std::vector<std::string>* names) {
  std::vector<std::pair<uint64_t, std::string>> hashed_names;
  hashed_names.reserve(names->size());
  for (std::string& name : *names) {
    const uint64_t hash = base::StableHash(absl::StrCat(zone, "/", name));
    hashed_names.emplace_back(hash, std::move(name));
  }
  std::sort(hashed_names.begin(), hashed_names.end(),
            [](const auto& a, const auto& b) { return a > b; });
  for (size_t i = 0; i < hashed_names.size(); ++i) {
    (*names)[i] = std::move(hashed_names[i].second);
  }
}

}  // namespace baobabwall::control
