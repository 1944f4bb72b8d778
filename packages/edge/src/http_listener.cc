#include "edge/src/http_listener.h"

#include <utility>
#include <vector>

#include "edge/src/http_connection.h"
#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {

using boost::system::error_code;

HttpListener::HttpListener(asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)), acceptor_(*io), accept_retry_timer_(*io) {}

HttpListener::~HttpListener() = default;

bool HttpListener::Open(const gateway::Endpoint& address) {
  const auto endpoint = ToAsio<tcp>(address);
  if (!endpoint) {
    LOG(ERROR) << "http: not an address value=" << address.address;
    return false;
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kListenBacklog, error);
  }
  if (error) {
    LOG(ERROR) << "http: cannot listen address=" << address.address << ":"
               << address.port << " error=" << error.message();
    return false;
  }
  Accept();
  return true;
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      LOG(WARNING) << "http: accept failed error=" << error.message();
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](error_code wait_error) {
        if (!wait_error && acceptor_.is_open()) {
          Accept();
        }
      });
      return;
    }
    auto connection = std::make_shared<Connection>(this, std::move(socket));
    connections_.emplace(connection.get(), connection);
    connection->Start();
    Accept();
  });
}

void HttpListener::Answer(ExchangeId exchange, HttpResponse answer) {
  const auto entry = connection_by_exchange_.find(exchange);
  if (entry != connection_by_exchange_.end()) {
    entry->second->Answer(exchange, std::move(answer));
  }
}

void HttpListener::StartDraining() {
  is_draining_ = true;
  for (const auto& connection : CopyConnections()) {
    connection->StartDraining();
  }
}

void HttpListener::CloseIdleConnections(absl::Time now) {
  for (const auto& connection : CopyConnections()) {
    connection->CloseIfIdle(now);
  }
}

void HttpListener::StopAccepting() {
  error_code ignored;  // The acceptor is not used again.
  acceptor_.close(ignored);
}

void HttpListener::CloseAllConnections() {
  for (const auto& connection : CopyConnections()) {
    connection->Close();
  }
}

std::vector<std::shared_ptr<HttpListener::Connection>>
HttpListener::CopyConnections() const {
  std::vector<std::shared_ptr<Connection>> copy;
  for (const auto& [key, connection] : connections_) {
    copy.push_back(connection);
  }
  return copy;
}

void HttpListener::OnTick(absl::Time now) {
  for (const auto& connection : CopyConnections()) {
    connection->OnTick(now);
  }
}

}  // namespace baobabwall::edge
