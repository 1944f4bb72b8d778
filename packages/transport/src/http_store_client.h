#ifndef TRANSPORT_SRC_HTTP_STORE_CLIENT_H_
#define TRANSPORT_SRC_HTTP_STORE_CLIENT_H_

#include <map>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "transport/src/connection_watch.h"
#include "transport/src/http_client.h"
#include "transport/src/store_client.h"
#include "transport/src/work_queue.h"

namespace baobabwall::transport {

/// \brief Decodes an answer of the key-value service.
/// \param text body of the answer.
/// \param findings receives every decoding error with the path of its field.
/// \returns nullopt if there was a decoding error.
std::optional<control::StoreAnswer> DecodeStoreAnswer(absl::string_view text,
                                                      base::Findings* findings);

/// \brief Decodes the platform's list of instances and backend servers.
/// \param findings receives every decoding error with the path of its field.
/// \returns nullopt if there was a decoding error.
std::optional<control::InstanceList> DecodeInstanceList(
    absl::string_view text,
    base::Findings* findings);

/// \brief Client of the platform's key-value service and of its list of
/// instances, over HTTP and JSON.
///
/// This class contains all code that depends on the protocol. Calls run on 4
/// threads and watches on 4 separate threads, because a watch blocks its thread
/// until a key changes and would delay calls.
/// \sa docs/decisions/0040-store-protocol.md
class HttpStoreClient : public StoreClient {
 public:
  /// Receives the kind and the status of each completed call.
  using CallHook =
      std::function<void(absl::string_view kind, control::StoreStatus)>;
  using ListDone = std::function<void(control::InstanceList)>;

  class Builder {
   public:
    Builder& Address(absl::string_view address, int port);
    /// \param timeout timeout of a call; for a watch, the timeout of the watch
    /// is added.
    Builder& Timeout(absl::Duration timeout);
    Builder& OnCallEnd(CallHook hook);
    std::unique_ptr<HttpStoreClient> Build() const;

   private:
    friend class HttpStoreClient;
    std::string address_;
    int port_ = 0;
    absl::Duration timeout_ = absl::Seconds(2);
    CallHook on_call_end_ = [](absl::string_view, control::StoreStatus) {};
  };

  /// \brief Completes pending calls with StoreStatus::kUnknown.
  ~HttpStoreClient() override;

  void Start(control::StoreCall call, Done done) override;

  /// \brief Starts to read the platform's list of instances.
  /// \param done called on another thread, but only if the list was read.
  void ReadList(ListDone done);

 private:
  struct PendingCall;

  explicit HttpStoreClient(const Builder& builder);
  control::StoreAnswer ExecuteCall(const control::StoreRequest& request);
  bool SendRequest(absl::string_view method,
                   absl::string_view target,
                   absl::string_view body,
                   absl::Duration timeout,
                   HttpAnswer* answer);

  const Builder settings_;
  ConnectionPool connection_pool_;
  ConnectionWatch connection_watch_;
  WorkQueue call_queue_;
  WorkQueue watch_queue_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_HTTP_STORE_CLIENT_H_
