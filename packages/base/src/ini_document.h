#ifndef BASE_SRC_INI_DOCUMENT_H_
#define BASE_SRC_INI_DOCUMENT_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/src/finding.h"

namespace baobabwall::base {

/// \brief A `key = value` line of an INI text.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;  ///< Line number; the first line is 1.
};

/// \brief Parses an INI text and records the line number of each entry.
/// \param file file name used in findings.
/// \param text the complete INI text.
/// \param findings receives a finding for every malformed line.
/// \returns the entries in file order.
std::vector<IniEntry> ReadIni(absl::string_view file,
                              absl::string_view text,
                              Findings* findings);

}  // namespace baobabwall::base

#endif  // BASE_SRC_INI_DOCUMENT_H_
