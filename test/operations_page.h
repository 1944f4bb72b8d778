#ifndef TEST_OPERATIONS_PAGE_H_
#define TEST_OPERATIONS_PAGE_H_

#include <map>
#include <set>
#include <string>

namespace baobabwall::test {

/// \brief The events that docs/OPERATIONS.md lists, with their fields.
class OperationsPage {
 public:
  OperationsPage();

  const std::map<std::string, std::set<std::string>>& events() const {
    return events_;
  }

  /// \returns what is wrong with a line of a gateway's log; empty: nothing.
  std::string Check(const std::string& line) const;

 private:
  std::map<std::string, std::set<std::string>> events_;
};

}  // namespace baobabwall::test

#endif  // TEST_OPERATIONS_PAGE_H_
