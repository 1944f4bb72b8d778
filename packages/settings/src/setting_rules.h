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

/// \brief Stores a value; returns what would be right if it does not fit.
template <typename Settings>
using Setter = std::function<std::string(Settings*, const std::string&)>;

/// \brief One setting of an INI file.
template <typename Settings>
struct Rule {
  /// "section.key"; "section.*" for any key, which is passed to `set_any`.
  absl::string_view name;
  bool is_required = false;
  Setter<Settings> set;
  std::function<std::string(Settings*, const std::string&, const std::string&)>
      set_any = nullptr;
};

template <typename Settings>
Setter<Settings> Text(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    if (value.empty()) {
      return std::string("a non-empty text");
    }
    settings->*member = value;
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> Token(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    // Compared in a fixed number of steps, for which the length has a bound.
    if (value.size() > 256) {
      return std::string("a text of 1 to 256 bytes");
    }
    return Text(member)(settings, value);
  };
}

template <typename Settings>
Setter<Settings> Name(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    for (char c : value) {
      if (!absl::ascii_islower(c) && !absl::ascii_isdigit(c) && c != '-') {
        return std::string("lower-case letters, digits and hyphens");
      }
    }
    return Text(member)(settings, value);
  };
}

/// \returns whether the text is an IP number.
inline bool IsIpNumber(const std::string& value) {
  unsigned char bytes[16];
  return inet_pton(AF_INET, value.c_str(), bytes) == 1 ||
         inet_pton(AF_INET6, value.c_str(), bytes) == 1;
}

template <typename Settings>
Setter<Settings> Address(std::string Settings::*member) {
  return [member](Settings* settings, const std::string& value) {
    if (!IsIpNumber(value)) {
      return std::string("an IP number such as 127.0.0.1");
    }
    settings->*member = value;
    return std::string();
  };
}

template <typename Settings, typename Number>
Setter<Settings> Integer(Number Settings::*member, int64_t low, int64_t high) {
  return [=](Settings* settings, const std::string& value) {
    int64_t number = 0;
    if (!absl::SimpleAtoi(value, &number) || number < low || number > high) {
      return absl::StrCat("a whole number from ", low, " to ", high);
    }
    settings->*member = static_cast<Number>(number);
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> Fraction(double Settings::*member, double low, double high) {
  return [=](Settings* settings, const std::string& value) {
    double number = 0;
    if (!absl::SimpleAtod(value, &number) || number < low || number > high) {
      return absl::StrCat("a number from ", low, " to ", high);
    }
    settings->*member = number;
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> Milliseconds(absl::Duration Settings::*member,
                              int64_t low,
                              int64_t high) {
  return [=](Settings* settings, const std::string& value) {
    int64_t ms = 0;
    if (!absl::SimpleAtoi(value, &ms) || ms < low || ms > high) {
      return absl::StrCat("milliseconds from ", low, " to ", high);
    }
    settings->*member = absl::Milliseconds(ms);
    return std::string();
  };
}

template <typename Settings>
Setter<Settings> Seconds(absl::Duration Settings::*member,
                         double low,
                         double high) {
  return [=](Settings* settings, const std::string& value) {
    double seconds = 0;
    if (!absl::SimpleAtod(value, &seconds) || seconds < low || seconds > high) {
      return absl::StrCat("seconds from ", low, " to ", high);
    }
    settings->*member = absl::Seconds(seconds);
    return std::string();
  };
}

namespace internal {

template <typename Settings>
const Rule<Settings>* FindRule(const std::vector<Rule<Settings>>& rules,
                               const base::IniEntry& entry) {
  const std::string name = absl::StrCat(entry.section, ".", entry.key);
  const std::string any = absl::StrCat(entry.section, ".*");
  for (const Rule<Settings>& rule : rules) {
    if (rule.name == name || rule.name == any) {
      return &rule;
    }
  }
  return nullptr;
}

template <typename Settings>
std::string DescribeUnknown(const std::vector<Rule<Settings>>& rules,
                            absl::string_view name) {
  std::vector<absl::string_view> known;
  for (const Rule<Settings>& rule : rules) {
    known.push_back(rule.name);
  }
  const absl::string_view nearest = base::NearestName(name, known);
  return nearest.empty() ? "remove it" : absl::StrCat("did you mean ", nearest);
}

}  // namespace internal

/// \brief Reads an INI text by rules.
/// \param findings receives every problem: file, line, section and key, what
/// is wrong and what would be right.
template <typename Settings>
Settings ParseByRules(absl::string_view file,
                      absl::string_view text,
                      const std::vector<Rule<Settings>>& rules,
                      base::Findings* findings) {
  Settings settings;
  std::set<std::string> seen;
  for (const base::IniEntry& entry : base::ReadIni(file, text, findings)) {
    const std::string name = absl::StrCat(entry.section, ".", entry.key);
    const std::string place = absl::StrCat(file, ":", entry.line, ": [",
                                           entry.section, "] ", entry.key);
    const Rule<Settings>* rule = internal::FindRule(rules, entry);
    if (rule == nullptr) {
      findings->Add(place, "is not a known setting",
                    internal::DescribeUnknown(rules, name));
      continue;
    }
    if (!seen.insert(name).second) {
      findings->Add(place, "is set twice", "keep one of them");
      continue;
    }
    seen.insert(std::string(rule->name));
    const std::string expected =
        rule->set_any ? rule->set_any(&settings, entry.key, entry.value)
                      : rule->set(&settings, entry.value);
    if (!expected.empty()) {
      findings->Add(place, absl::StrCat("'", entry.value, "' does not fit"),
                    absl::StrCat("expected ", expected));
    }
  }
  for (const Rule<Settings>& rule : rules) {
    if (rule.is_required && seen.count(std::string(rule.name)) == 0) {
      findings->Add(absl::StrCat(file, ": ", rule.name), "is missing");
    }
  }
  return settings;
}

}  // namespace baobabwall::settings

#endif  // SETTINGS_SRC_SETTING_RULES_H_
