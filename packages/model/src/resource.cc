#include "model/src/resource.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "model/src/client_block_table.h"

namespace baobabwall::model {
namespace internal {

constexpr std::array<Kind, 9> kKinds = {
    Kind::kService,       Kind::kRegion, Kind::kZone,
    Kind::kBackendServer, Kind::kLink,   Kind::kCap,
    Kind::kDrain,         Kind::kShift,  Kind::kClientBlocks};

constexpr std::array<absl::string_view, 9> kKindNames = {
    "Service", "Region", "Zone",  "BackendServer", "Link",
    "Cap",     "Drain",  "Shift", "ClientBlocks"};

}  // namespace internal

absl::string_view ToString(Kind kind) {
  return internal::kKindNames[static_cast<size_t>(kind)];
}

std::optional<Kind> KindFromString(absl::string_view text) {
  for (Kind kind : internal::kKinds) {
    if (ToString(kind) == text) {
      return kind;
    }
  }
  return std::nullopt;
}

absl::Span<const Kind> AllKinds() {
  return internal::kKinds;
}

std::string ResourceId::ToString() const {
  return absl::StrCat(model::ToString(kind), "/", name);
}

std::string Resource::spec() const {
  return blocks == nullptr ? text : blocks->SpecText();
}

}  // namespace baobabwall::model
