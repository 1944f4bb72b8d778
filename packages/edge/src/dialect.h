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

/// \brief Decoded headers of a backend server's answer.
struct BackendAnswer {
  std::string request_id;        ///< Id of the request that was answered.
  bool is_signed = false;        ///< The answer has the server's signature.
  bool is_not_run = false;       ///< The server did not run the request.
  bool is_other_server = false;  ///< Another server has the address.
  std::optional<gateway::ReportedLoad> load;
  std::optional<absl::Duration> cold_left;
  bool is_leaving = false;  ///< The server shuts down soon.
  /// Time for which the server wants no requests.
  std::optional<absl::Duration> requested_pause;
  gateway::LimitReport limit;
  /// Time for which the server keeps an idle connection open.
  std::optional<absl::Duration> keep_alive;
};

/// \brief What the request to a backend server says beside the caller's
/// request.
struct ForwardOptions {
  /// Id of the backend server that must run the request.
  absl::string_view server;
  absl::Duration time_left;  ///< Time until the deadline of the answer.
  gateway::CallerIdentity identity;
};

/// \brief Translates between the gateway's types and the messages of the
/// platform that the gateway runs on. All functions must be set, and none of
/// them may do I/O.
struct Dialect {
  /// \param request a complete request of a caller.
  /// \returns the properties of the request that routing needs, without id and
  /// arrival time.
  std::function<gateway::CallerRequest(const HttpRequest& request)>
      read_request;

  /// \returns the properties that the head of a request tells, without the
  /// fingerprint.
  std::function<gateway::CallerRequest(const RequestHead& head)> read_head;

  /// \returns the credentials in the head of a request, which refer to the
  /// text of the head.
  std::function<gateway::Credentials(const http::fields& headers)>
      read_credentials;

  /// \returns the request to send to a backend server.
  std::function<HttpRequest(const HttpRequest& request,
                            const ForwardOptions& options)>
      forward_request;

  std::function<BackendAnswer(const HttpResponse& answer)> read_answer;

  /// \returns an answer that the gateway itself sends to a caller.
  std::function<HttpResponse(int status,
                             std::optional<absl::Duration> retry_after,
                             absl::string_view request_id)>
      refusal;

  /// \param target path and query.
  /// \returns nullopt if the request is not a lookup.
  std::function<std::optional<gateway::CallerPlace>(absl::string_view target)>
      read_lookup;
  std::function<HttpResponse(const std::vector<gateway::Endpoint>& instances,
                             absl::Duration time_to_live)>
      lookup_answer;
  std::function<bool(absl::string_view target)> is_readiness_check;

  std::function<HttpRequest(const control::StoreRequest& call)> store_request;
  /// \returns an answer without a call id.
  std::function<control::StoreAnswer(const control::StoreRequest& call,
                                     const HttpResponse& answer)>
      store_answer;

  /// \returns the state change that is stored under the key of the item;
  /// nullopt if the gateway does not use the key.
  std::function<std::optional<gateway::StateChange>(
      const control::StoreKeyValue& item)>
      state_change;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_DIALECT_H_
