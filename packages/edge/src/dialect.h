#ifndef EDGE_SRC_DIALECT_H_
#define EDGE_SRC_DIALECT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "control/control.h"
#include "edge/src/http_message.h"
#include "gateway/gateway.h"

namespace baobabwall::edge {

/// \brief What the head of a backend server's answer says.
struct BackendAnswer {
  std::string request_id;        ///< Id of the request that it belongs to.
  bool is_signed = false;        ///< It bears the server's signature.
  bool is_not_run = false;       ///< The server did not run the request.
  bool is_other_server = false;  ///< The address belongs to another server.
  std::optional<gateway::ReportedLoad> load;
  std::optional<absl::Duration> cold_left;
  /// How long the server keeps the connection open without a request.
  std::optional<absl::Duration> keep_alive;
};

/// \brief Translates between the product's types and the messages of the
/// platform that it runs on. All functions must be set; none does I/O.
struct Dialect {
  /// \param request a whole request of a caller.
  /// \returns what steering needs of it, without id and arrival.
  std::function<gateway::CallerRequest(const HttpRequest& request)>
      read_request;

  /// \returns the request as it is sent to a backend server.
  /// \param server id of the backend server that must run it.
  /// \param time_left for the answer.
  std::function<HttpRequest(const HttpRequest& request,
                            absl::string_view server,
                            absl::Duration time_left)>
      forward_request;

  std::function<BackendAnswer(const HttpResponse& answer)> read_answer;

  /// \returns our own answer to a caller.
  std::function<HttpResponse(int status,
                             std::optional<absl::Duration> retry_after,
                             absl::string_view request_id)>
      refusal;

  /// \param target path and query.
  /// \returns none if it is not a lookup.
  std::function<std::optional<gateway::CallerPlace>(absl::string_view target)>
      read_lookup;
  std::function<HttpResponse(const std::vector<gateway::Endpoint>& instances,
                             absl::Duration time_to_live)>
      lookup_answer;
  std::function<bool(absl::string_view target)> is_readiness_check;

  std::function<HttpRequest(const control::StoreRequest& call)> store_request;
  /// \returns an answer without an id.
  std::function<control::StoreAnswer(const control::StoreRequest& call,
                                     const HttpResponse& answer)>
      store_answer;

  /// \returns what a key of the store means; none if nothing to us.
  std::function<std::optional<gateway::StateChange>(
      const control::StoreKeyValue& item)>
      state_change;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_DIALECT_H_
