#ifndef TRANSPORT_SRC_JSON_RPC_H_
#define TRANSPORT_SRC_JSON_RPC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \brief JSON-RPC 2.0 based on libjsonrpccpp, without the HTTP server and
/// client of that library.
///
/// The sources are compiled as gnu++14, because the library's client headers
/// use dynamic exception specifications. This header must not use types whose
/// layout depends on the language version, such as absl::string_view.
namespace baobabwall {
namespace transport {

/// \brief Serialises notifications. Thread-safe.
class JsonRpcClient {
 public:
  /// Sends a message to the server and returns true if the message was
  /// accepted. The body of the answer is ignored.
  using Send = std::function<bool(const std::string& message)>;

  /// \brief Sends a notification.
  /// \param method name of the notification.
  /// \param params JSON text of the parameters.
  /// \param send called with the serialised notification.
  /// \returns false if the parameters are not JSON or `send` failed.
  static bool Notify(const std::string& method,
                     const std::string& params,
                     const Send& send);
};

/// \brief Parses notifications. Thread-safe.
class JsonRpcServer {
 public:
  /// \param params JSON text of the parameters.
  using OnNotify =
      std::function<void(const std::string& method, const std::string& params)>;

  /// \param methods names of the supported notifications.
  /// \param on_notify called for each valid notification.
  JsonRpcServer(const std::vector<std::string>& methods, OnNotify on_notify);
  ~JsonRpcServer();

  /// \brief Handles an untrusted message.
  /// \returns the answer: empty for a supported notification, an error object
  /// for a malformed message or an unknown method.
  std::string Handle(const std::string& message);

 private:
  class Implementation;

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace transport
}  // namespace baobabwall

#endif  // TRANSPORT_SRC_JSON_RPC_H_
