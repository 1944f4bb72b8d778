#ifndef MODEL_SRC_RESOURCE_H_
#define MODEL_SRC_RESOURCE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace baobabwall::model {

/// \brief Kinds of resources that operators declare.
enum class Kind {
  kService,
  kRegion,
  kZone,
  kBackendServer,
  kLink,
  kCap,
  kDrain,
  kShift,
  kClientBlocks,
};

/// \returns the kind's name in JSON documents and URL paths, such as
/// "BackendServer".
absl::string_view ToString(Kind kind);
/// \returns nullopt if no kind has this name.
std::optional<Kind> KindFromString(absl::string_view text);
absl::Span<const Kind> AllKinds();

/// \brief Kind and name, which together identify a resource.
struct ResourceId {
  Kind kind = Kind::kService;
  std::string name;

  /// \returns "Kind/name".
  std::string ToString() const;

  friend bool operator==(const ResourceId& a, const ResourceId& b) {
    return a.kind == b.kind && a.name == b.name;
  }
  friend bool operator<(const ResourceId& a, const ResourceId& b) {
    return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
  }
};

class ClientBlockChunk;

/// \brief A resource whose spec was validated and accepted.
struct Resource {
  ResourceId id;
  std::string text;  ///< JSON text of the spec unless `blocks` is set.
  int64_t resource_version = 0;  ///< Revision that last changed the resource.
  /// Compact form of a ClientBlocks spec, which takes a third of the memory of
  /// the JSON text; nullptr for every other kind.
  std::shared_ptr<const ClientBlockChunk> blocks;

  /// \returns the JSON text of the spec. The blocks of a ClientBlocks spec are
  /// sorted by address.
  std::string spec() const;
};

}  // namespace baobabwall::model

#endif  // MODEL_SRC_RESOURCE_H_
