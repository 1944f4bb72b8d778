#ifndef TEST_MUTATE_H_
#define TEST_MUTATE_H_

#include <rapidcheck.h>

#include <string>

namespace baobabwall::test {

/// \brief Mutates a valid input: replaces, erases or repeats a few substrings.
inline std::string Mutate(std::string text) {
  const int edit_count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edit_count && !text.empty(); ++i) {
    const auto position = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 12);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text.replace(
            position, length,
            *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, text.substr(position, length));
        break;
      default:
        text.replace(position, 1,
                     *rc::gen::element<std::string>(
                         "[", "{", "}", "\"", "-1", "1e999", "null", "true",
                         "99999999999999999999", "\\u0000", "\xff"));
    }
  }
  return text;
}

}  // namespace baobabwall::test

#endif  // TEST_MUTATE_H_
