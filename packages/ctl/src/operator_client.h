#ifndef CTL_SRC_OPERATOR_CLIENT_H_
#define CTL_SRC_OPERATOR_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "ctl/src/api_client.h"
#include "transport/transport.h"

namespace baobabwall::ctl {

/// \brief Address and operators' port of an instance.
struct Endpoint {
  std::string address;  ///< IP address.
  int port = 0;
};

/// \brief Parses "ADDRESS:PORT,ADDRESS:PORT"; an IPv6 address is in brackets.
/// \param default_port port of an address without a port; 0: each address must
/// have a port.
/// \returns std::nullopt if the text does not have this form.
std::optional<std::vector<Endpoint>> ParseEndpoints(absl::string_view text,
                                                    int default_port);

/// \brief Sends requests to the operators' port of the first instance that
/// answers.
class OperatorClient : public ApiClient {
 public:
  OperatorClient(std::string address, int port, std::string token);
  OperatorClient(std::vector<Endpoint> endpoints, std::string token);

  /// \brief Tries the instances in order, beginning with the instance that
  /// answered last.
  ///
  /// A request without an answer may have taken effect. A write has an
  /// operation id, so sending the write to the next instance does not apply it
  /// twice.
  bool Call(absl::string_view method,
            absl::string_view target,
            absl::string_view body,
            transport::HttpAnswer* answer) override;

 private:
  std::vector<Endpoint> endpoints_;
  size_t first_endpoint_ = 0;
  std::string token_;
  transport::ConnectionPool pool_;
};

}  // namespace baobabwall::ctl

#endif  // CTL_SRC_OPERATOR_CLIENT_H_
