#ifndef TRANSPORT_SRC_JSON_READER_H_
#define TRANSPORT_SRC_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "nlohmann/json.hpp"

namespace baobabwall::transport {

/// \brief Reads typed fields of an untrusted JSON value and records a finding
/// with the path of each invalid field. Unknown fields are ignored, so that
/// instances of different versions can exchange messages.
class JsonReader {
 public:
  /// \param value JSON value to read; must outlive the reader.
  /// \param path path of the value in findings.
  JsonReader(const nlohmann::json& value,
             std::string path,
             base::Findings* findings);

  std::string ReadString(absl::string_view name);
  int64_t ReadInteger(absl::string_view name,
                      int64_t min_value = INT64_MIN,
                      int64_t max_value = INT64_MAX);
  uint64_t ReadUnsigned(absl::string_view name);
  double ReadNumber(absl::string_view name);
  /// \returns the default value if the field is absent.
  bool ReadBool(absl::string_view name, bool default_value);
  /// \brief Reads a base64 field.
  /// \returns the decoded bytes.
  std::string ReadBase64(absl::string_view name);

  /// \brief Visits each element of an array field.
  void ForEachElement(absl::string_view name,
                      const std::function<void(JsonReader*)>& visit);
  /// \brief Visits an object field.
  void VisitObject(absl::string_view name,
                   const std::function<void(JsonReader*)>& visit);
  /// \brief Visits each member of an object field whose values are numbers.
  void ForEachNumber(
      absl::string_view name,
      const std::function<void(const std::string&, double)>& visit);

  bool HasField(absl::string_view name) const;
  /// \returns the value that the reader was made for, which must be a string;
  /// adds a finding and returns an empty string otherwise.
  std::string ReadValueAsString();
  /// \brief Adds a finding for a field whose value is not valid.
  void AddInvalidField(absl::string_view name,
                       absl::string_view expected_value);

 private:
  const nlohmann::json* FindField(absl::string_view name);

  const nlohmann::json& value_;
  std::string path_;
  base::Findings* findings_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_JSON_READER_H_
