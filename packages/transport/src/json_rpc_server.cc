#include <json/json.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "transport/src/json_rpc.h"

namespace baobabwall {
namespace transport {

class JsonRpcServer::Implementation
    : public jsonrpc::AbstractServerConnector,
      public jsonrpc::IProcedureInvokationHandler {
 public:
  Implementation(const std::vector<std::string>& methods, OnNotify on_notify)
      : on_notify_(std::move(on_notify)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    for (const std::string& method : methods) {
      protocol_->AddProcedure(jsonrpc::Procedure(
          method, jsonrpc::PARAMS_BY_NAME, static_cast<void*>(nullptr)));
    }
    SetHandler(protocol_.get());
  }

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

  bool SendResponse(const std::string& response, void* context) override {
    *static_cast<std::string*>(context) = response;
    return true;
  }

  void HandleMethodCall(jsonrpc::Procedure& /*procedure*/,
                        const Json::Value& /*input*/,
                        Json::Value& /*output*/) override {}

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    on_notify_(procedure.GetProcedureName(), Json::writeString(writer, input));
  }

 private:
  OnNotify on_notify_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

JsonRpcServer::JsonRpcServer(const std::vector<std::string>& methods,
                             OnNotify on_notify)
    : implementation_(new Implementation(methods, std::move(on_notify))) {}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::Handle(const std::string& message) {
  std::string answer;
  try {
    implementation_->OnRequest(message, &answer);
  } catch (const std::exception&) {
    // The JSON parser throws on values whose nesting is too deep.
    answer =
        R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}})";
  }
  return answer;
}

}  // namespace transport
}  // namespace baobabwall
