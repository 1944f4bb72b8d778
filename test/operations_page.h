#ifndef TEST_OPERATIONS_PAGE_H_
#define TEST_OPERATIONS_PAGE_H_

#include <map>
#include <set>
#include <string>

namespace baobabwall::test {

/// \brief The events and their fields that docs/OPERATIONS.md documents.
class OperationsPage {
 public:
  OperationsPage();

  const std::map<std::string, std::set<std::string>>& events() const {
    return events_;
  }

  /// \returns a description of the first problem in a log line of a gateway;
  /// empty if there is no problem.
  std::string Check(const std::string& line) const;

 private:
  std::map<std::string, std::set<std::string>> events_;
};

}  // namespace baobabwall::test

#endif  // TEST_OPERATIONS_PAGE_H_
