#ifndef SETTINGS_SRC_SETTING_RULES_H_
#define SETTINGS_SRC_SETTING_RULES_H_

#include <arpa/inet.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::settings {

/// \brief Parses a value and stores it in the settings. Returns an empty
/// string, or a description of the expected value if the value is invalid.
template <typename Settings>
using Setter = std::function<std::string(Settings*, const std::string&)>;

/// \brief Name and setter of a setting in an INI file.
template <typename Settings>
struct SettingRule {
  /// "section.key" for a single setting, or "section.*" for every key of a
  /// section. For "section.*", the key is passed to `set_any_key`.
  absl::string_view name;
  bool is_required = false;
  Setter<Settings> set;
  std::function<std::string(Settings*, const std::string&, const std::string&)>
      set_any_key = nullptr;
};

template <typename Settings>
Setter<Settings> TextSetter(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    if (value.empty()) {
      return std::string("a non-empty string");
    }
    settings->*member = value;
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> TokenSetter(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    // Token comparison takes a fixed number of steps, which requires a maximum
    // token length.
    if (value.size() > 256) {
      return std::string("a string of 1 to 256 bytes");
    }
    return TextSetter(member)(settings, value);
  };
}

template <typename Settings>
Setter<Settings> NameSetter(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    for (char c : value) {
      if (!absl::ascii_islower(c) && !absl::ascii_isdigit(c) && c != '-') {
        return std::string("lower-case letters, digits and hyphens");
      }
    }
    return TextSetter(member)(settings, value);
  };
}

/// \returns true if the text is an IPv4 or IPv6 address.
inline bool IsIpAddress(const std::string& value) {
  unsigned char bytes[16];
  return inet_pton(AF_INET, value.c_str(), bytes) == 1 ||
         inet_pton(AF_INET6, value.c_str(), bytes) == 1;
}

template <typename Settings>
Setter<Settings> AddressSetter(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    if (!IsIpAddress(value)) {
      return std::string("an IP address such as 127.0.0.1");
    }
    settings->*member = value;
    return std::string();
  };
}

template <typename Settings, typename Number>
Setter<Settings> IntegerSetter(Number Settings::*member,
                               int64_t min,
                               int64_t max) {
  return [=](Settings* settings, const std::string& value) {
    int64_t number = 0;
    if (!absl::SimpleAtoi(value, &number) || number < min || number > max) {
      return absl::StrCat("a whole number from ", min, " to ", max);
    }
    settings->*member = static_cast<Number>(number);
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> NumberSetter(double Settings::*member,
                              double min,
                              double max) {
  return [=](Settings* settings, const std::string& value) {
    double number = 0;
    if (!absl::SimpleAtod(value, &number) || number < min || number > max) {
      return absl::StrCat("a number from ", min, " to ", max);
    }
    settings->*member = number;
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> MillisecondsSetter(absl::Duration Settings::*member,
                                    int64_t min,
                                    int64_t max) {
  return [=](Settings* settings, const std::string& value) {
    int64_t ms = 0;
    if (!absl::SimpleAtoi(value, &ms) || ms < min || ms > max) {
      return absl::StrCat("milliseconds from ", min, " to ", max);
    }
    settings->*member = absl::Milliseconds(ms);
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> SecondsSetter(absl::Duration Settings::*member,
                               double min,
                               double max) {
  return [=](Settings* settings, const std::string& value) {
    double seconds = 0;
    if (!absl::SimpleAtod(value, &seconds) || seconds < min || seconds > max) {
      return absl::StrCat("seconds from ", min, " to ", max);
    }
    settings->*member = absl::Seconds(seconds);
    return std::string();
  };
}

namespace internal {

template <typename Settings>
const SettingRule<Settings>* FindRule(
    const std::vector<SettingRule<Settings>>& rules,
    const base::IniEntry& entry) {
  const std::string name = absl::StrCat(entry.section, ".", entry.key);
  const std::string section_wildcard = absl::StrCat(entry.section, ".*");
  for (const SettingRule<Settings>& rule : rules) {
    if (rule.name == name || rule.name == section_wildcard) {
      return &rule;
    }
  }
  return nullptr;
}

template <typename Settings>
std::string RemedyForUnknownName(
    const std::vector<SettingRule<Settings>>& rules,
    absl::string_view name) {
  std::vector<absl::string_view> known_names;
  for (const SettingRule<Settings>& rule : rules) {
    known_names.push_back(rule.name);
  }
  const absl::string_view nearest = base::NearestName(name, known_names);
  return nearest.empty() ? "remove it" : absl::StrCat("did you mean ", nearest);
}

}  // namespace internal

/// \brief Parses an INI text according to the rules.
/// \param findings receives every problem. A finding states the file, line,
/// section, key and a suggested correction.
template <typename Settings>
Settings ParseByRules(absl::string_view file,
                      absl::string_view text,
                      const std::vector<SettingRule<Settings>>& rules,
                      base::Findings* findings) {
  Settings settings;
  std::set<std::string> seen_names;
  for (const base::IniEntry& entry : base::ReadIni(file, text, findings)) {
    const std::string name = absl::StrCat(entry.section, ".", entry.key);
    const std::string place = absl::StrCat(file, ":", entry.line, ": [",
                                           entry.section, "] ", entry.key);
    const SettingRule<Settings>* rule = internal::FindRule(rules, entry);
    if (rule == nullptr) {
      findings->Add(place, "is not a known setting",
                    internal::RemedyForUnknownName(rules, name));
      continue;
    }
    if (!seen_names.insert(name).second) {
      findings->Add(place, "is set more than once", "remove the duplicate");
      continue;
    }
    seen_names.insert(std::string(rule->name));
    const std::string expected =
        rule->set_any_key ? rule->set_any_key(&settings, entry.key, entry.value)
                          : rule->set(&settings, entry.value);
    if (!expected.empty()) {
      findings->Add(place,
                    absl::StrCat("'", entry.value, "' is not a valid value"),
                    absl::StrCat("expected ", expected));
    }
  }
  for (const SettingRule<Settings>& rule : rules) {
    if (rule.is_required && seen_names.count(std::string(rule.name)) == 0) {
      findings->Add(absl::StrCat(file, ": ", rule.name), "is missing");
    }
  }
  return settings;
}

}  // namespace baobabwall::settings

#endif  // SETTINGS_SRC_SETTING_RULES_H_
