#ifndef CTL_SRC_API_CLIENT_H_
#define CTL_SRC_API_CLIENT_H_

#include "absl/strings/string_view.h"
#include "transport/transport.h"

namespace baobabwall::ctl {

/// \brief Interface through which commands call the resource API.
class ApiClient {
 public:
  virtual ~ApiClient() = default;

  /// \brief Sends a request and waits for the complete answer.
  /// \returns false if no instance answered.
  virtual bool Call(absl::string_view method,
                    absl::string_view target,
                    absl::string_view body,
                    transport::HttpAnswer* answer) = 0;
};

}  // namespace baobabwall::ctl

#endif  // CTL_SRC_API_CLIENT_H_
