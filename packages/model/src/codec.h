#ifndef MODEL_SRC_CODEC_H_
#define MODEL_SRC_CODEC_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "model/src/resource.h"
#include "model/src/spec.h"

namespace baobabwall::model {

/// Maximum depth of nested lists and objects in a JSON text. A batch needs 6
/// levels.
inline constexpr int kMaxNesting = 32;

/// \returns true if a JSON text is nested more than kMaxNesting levels deep.
///
/// The depth is checked before parsing because the JSON library serializes
/// nested values recursively: 200,000 levels overflow the stack of a thread.
bool IsNestedTooDeeply(absl::string_view text);

/// \brief Parses and validates the spec of a resource. References to other
/// resources are not checked.
/// \param id kind and name of the resource; the name is copied into the spec.
/// \param text JSON text of the spec.
/// \param findings receives every problem with its path. For an unknown field,
/// the finding suggests the known field with the most similar name.
/// \returns nullopt if any problem was found.
std::optional<Spec> ParseSpec(const ResourceId& id,
                              absl::string_view text,
                              base::Findings* findings);

}  // namespace baobabwall::model

#endif  // MODEL_SRC_CODEC_H_
