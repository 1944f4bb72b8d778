#ifndef DAEMON_SRC_OPERATOR_SERVICE_H_
#define DAEMON_SRC_OPERATOR_SERVICE_H_

#include <atomic>
#include <string>

#include "daemon/src/control_loop.h"
#include "transport/transport.h"

namespace baobabwall::daemon {

/// \brief Handles the resource API at the operators' port.
///
/// GET    /v1/resources, /v1/resources/KIND, /v1/resources/KIND/NAME
/// PUT    /v1/resources/KIND/NAME   {"spec", "basedOn"?, "operationId"?}
/// DELETE /v1/resources/KIND/NAME   with If-Match or ?basedOn=
/// POST   /v1/batch                 {"operationId", "changes"}
/// GET    /v1/watch?since=REVISION
/// GET    /v1/status
/// GET    /v1/explain?service=&client=&method=
/// \sa docs/operating.md
class OperatorService {
 public:
  /// \param token bearer token that operators must send.
  OperatorService(ControlLoop* control, absl::string_view token);

  /// \brief Handles all requests below /v1/.
  void Handle(transport::HttpExchange* exchange);

 private:
  void HandleResources(transport::HttpExchange* exchange,
                       absl::string_view path);
  void Read(transport::HttpExchange* exchange, const model::ResourceId& id);
  void Change(transport::HttpExchange* exchange, const model::ResourceId& id);
  void Batch(transport::HttpExchange* exchange);
  void Write(transport::HttpExchange* exchange, model::ChangeBatch batch);
  void Watch(transport::HttpExchange* exchange);
  void Status(transport::HttpExchange* exchange);
  void ExplainCaller(transport::HttpExchange* exchange);

  std::string NewOperationId();

  ControlLoop* control_;
  transport::Token token_;
  std::atomic<uint64_t> last_operation_number_{0};
  std::atomic<int> pending_watches_{0};
};

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_OPERATOR_SERVICE_H_
