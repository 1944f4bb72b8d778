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
    if (connections_.size() > client_limits_.max_connections &&
        !CloseUnusedConnection(connection.get())) {
      is_accept_paused_ = true;
      return;
    }
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

bool HttpListener::CloseUnusedConnection(const Connection* newest) {
  std::shared_ptr<Connection> oldest;
  for (const auto& [key, connection] : connections_) {
    if (key != newest && connection->IsUnused() &&
        (oldest == nullptr || connection->IsLessUsedThan(*oldest))) {
      oldest = connection;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  CountShed(ShedCause::kConnections);
  oldest->Close();
  return true;
}

void HttpListener::ResumeAccepting() {
  if (!is_accept_paused_ || !acceptor_.is_open()) {
    return;
  }
  is_accept_paused_ = false;
  if (connections_.size() > client_limits_.max_connections &&
      !CloseUnusedConnection(nullptr)) {
    is_accept_paused_ = true;
    return;
  }
  Accept();
}

MemoryBudget::Reservation HttpListener::TakeReservation(ExchangeId exchange) {
  const auto entry = connection_by_exchange_.find(exchange);
  return entry == connection_by_exchange_.end()
             ? MemoryBudget::Reservation()
             : entry->second->TakeReservation(exchange);
}

std::shared_ptr<HttpListener::Connection> HttpListener::ChooseVictim(
    absl::Time now) const {
  std::shared_ptr<Connection> victim;
  for (const auto& [key, connection] : connections_) {
    if (connection->HoldsIncompleteBody() &&
        (victim == nullptr || connection->IsShedBefore(*victim, now))) {
      victim = connection;
    }
  }
  return victim;
}

std::shared_ptr<HttpListener::Connection> HttpListener::ChooseSlowReader(
    absl::Time now) const {
  std::shared_ptr<Connection> slowest;
  for (const auto& [key, connection] : connections_) {
    if (connection->IsAnswerStalled(now) &&
        (slowest == nullptr ||
         connection->answer_bytes() > slowest->answer_bytes())) {
      slowest = connection;
    }
  }
  return slowest;
}

bool HttpListener::ShedOne(absl::Time now) {
  if (client_limits_.budget->IsExceeded()) {
    if (const auto slow_reader = ChooseSlowReader(now)) {
      CountShed(ShedCause::kSlowReader);
      slow_reader->Close();
      return true;
    }
  }
  const std::shared_ptr<Connection> victim = ChooseVictim(now);
  if (victim == nullptr) {
    return false;
  }
  victim->Shed(ShedCause::kMemory);
  return true;
}

void HttpListener::RelieveMemory(absl::Time now) {
  if (client_limits_.budget == nullptr) {
    return;
  }
  for (int i = 0; i <= kMaxShedRequests; ++i) {
    for (const auto& connection : std::exchange(paused_connections_, {})) {
      connection->ResumeReading();
    }
    const bool is_pause_too_long =
        !paused_connections_.empty() &&
        now - paused_connections_.front()->pause_start() >= kMaxReadPause;
    if (!is_pause_too_long && !client_limits_.budget->IsExceeded()) {
      return;
    }
    if (!ShedOne(now)) {
      return;
    }
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
  ResumeAccepting();
}

}  // namespace baobabwall::edge
