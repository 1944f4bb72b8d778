#include "edge/src/control_thread.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "edge/src/relay_codec.h"
#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {

ControlThread::ControlThread(
    const Dialect* dialect,
    gateway::Endpoint store,
    gateway::InstanceRecord self,
    uint64_t seed,
    transport::Metrics* metrics,
    std::function<void(std::shared_ptr<const gateway::ControlView>)> publish)
    : io_(1),
      store_(std::move(store)),
      control_(std::move(self),
               seed,
               ControlHooks(dialect, metrics, std::move(publish))),
      store_link_(&io_,
                  {dialect->store_request, dialect->store_answer},
                  StoreLink::kStoreTimeouts,
                  AnswerCallback()),
      peer_link_(&io_,
                 {EncodeRelayRequest,
                  [](const control::StoreRequest&, const HttpResponse& answer) {
                    return DecodeRelayAnswer(answer);
                  }},
                 StoreLink::kPeerTimeouts,
                 AnswerCallback()),
      peer_listener_(&io_,
                     {[this](ExchangeId exchange, const HttpRequest& request) {
                        OnPeerRequest(exchange, request);
                      },
                      [this](ExchangeId exchange) {
                        control_.OnPeerDisconnected(exchange);
                      }}),
      timer_(io_) {
  AddMetrics(metrics);
}

gateway::GatewayControl::Hooks ControlThread::ControlHooks(
    const Dialect* dialect,
    transport::Metrics* metrics,
    std::function<void(std::shared_ptr<const gateway::ControlView>)> publish) {
  gateway::GatewayControl::Hooks hooks;
  hooks.decode = dialect->state_change;
  hooks.call_store = [this](control::StoreCall call) {
    store_link_.Call(store_, std::move(call));
  };
  hooks.publish = std::move(publish);
  hooks.log = [](const std::string& line) { LOG(INFO) << line; };
  hooks.call_peer = [this](const gateway::Endpoint& peer,
                           control::StoreCall call) {
    peer_link_.Call(peer, std::move(call));
  };
  hooks.answer_peer = [this](
                          gateway::PeerCallId id,
                          std::shared_ptr<const control::StoreAnswer> answer) {
    peer_listener_.Answer(id, relay_encoder_.Encode(std::move(answer)));
  };
  hooks.call_ended = [metrics](absl::string_view kind,
                               control::StoreStatus status) {
    metrics->StoreCallEnded(kind, status);
  };
  return hooks;
}

void ControlThread::AddMetrics(transport::Metrics* metrics) {
  metrics->AddReader(
      "baobabwall_state_age_seconds",
      "Time since the last answer to a read of the shared state", {}, false,
      [this] {
        const int64_t now = absl::ToUnixNanos(transport::SteadyNow());
        return absl::ToDoubleSeconds(absl::Nanoseconds(now - last_read_ns_));
      });
  metrics->AddReader("baobabwall_store_lost",
                     "1 while neither the store nor an instance tells it", {},
                     false,
                     [this] { return is_store_unreachable_ ? 1.0 : 0.0; });
  metrics->AddReader("baobabwall_store_era",
                     "Era of the store, which rises when it is restored", {},
                     false, [this] { return static_cast<double>(era_); });
}

StoreLink::DoneCallback ControlThread::AnswerCallback() {
  return [this](const control::StoreAnswer& answer) {
    control_.OnStoreAnswer(answer, transport::SteadyNow());
  };
}

void ControlThread::OnPeerRequest(ExchangeId exchange,
                                  const HttpRequest& request) {
  const auto call = DecodeRelayRequest(request);
  if (!call) {
    peer_listener_.Answer(exchange, MakeEmptyAnswer(gateway::kHttpNotFound));
    return;
  }
  control_.OnPeerCall(exchange, *call, transport::SteadyNow());
}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start() {
  asio::post(io_, [this] { Tick(); });
  thread_ = std::thread([this] { io_.run(); });
}

void ControlThread::Stop() {
  io_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlThread::Deregister() {
  asio::post(io_, [this] { control_.Leave(transport::SteadyNow()); });
}

void ControlThread::OnPeerPosition(gateway::StatePosition position) {
  asio::post(io_, [this, position] {
    control_.OnPeerPosition(position, transport::SteadyNow());
  });
}

void ControlThread::ReportCrash(uint64_t fingerprint) {
  asio::post(io_, [this, fingerprint] {
    control_.ReportCrash(fingerprint, transport::SteadyNow());
  });
}

void ControlThread::Tick() {
  const absl::Time now = transport::SteadyNow();
  control_.OnTick(now);
  if (control_.last_read() != absl::InfinitePast()) {
    last_read_ns_ = absl::ToUnixNanos(control_.last_read());
  }
  is_store_unreachable_ = control_.is_store_unreachable();
  era_ = control_.era();
  if (now - last_connection_tick_ >= kConnectionTickInterval) {
    last_connection_tick_ = now;
    peer_listener_.OnTick(now);
  }
  timer_.expires_after(
      std::chrono::milliseconds(absl::ToInt64Milliseconds(kTickInterval)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

}  // namespace baobabwall::edge
