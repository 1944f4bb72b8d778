#include <json/json.h>
#include <jsonrpccpp/client.h>

#include <sstream>

#include "transport/src/json_rpc.h"

namespace baobabwall {
namespace transport {
namespace {

class CallbackConnector : public jsonrpc::IClientConnector {
 public:
  explicit CallbackConnector(const JsonRpcClient::Send& send) : send_(send) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    result.clear();
    if (!send_(message)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "message was not delivered");
    }
  }

 private:
  const JsonRpcClient::Send& send_;
};

}  // namespace

bool JsonRpcClient::Notify(const std::string& method,
                           const std::string& params,
                           const Send& send) {
  Json::Value value;
  std::string errors;
  std::istringstream stream(params);
  try {
    if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &value,
                               &errors)) {
      return false;
    }
    CallbackConnector connector(send);
    jsonrpc::Client(connector).CallNotification(method, value);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace transport
}  // namespace baobabwall
