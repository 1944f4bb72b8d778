#include "edge/src/control_thread.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {

ControlThread::ControlThread(
    const Dialect* dialect,
    gateway::Endpoint store,
    gateway::InstanceRecord self,
    uint64_t seed,
    std::function<void(std::shared_ptr<const gateway::ControlView>)> publish)
    : io_(1),
      control_(
          std::move(self),
          seed,
          {dialect->state_change,
           [this](control::StoreCall call) { link_.Call(std::move(call)); },
           std::move(publish),
           [](const std::string& line) { LOG(INFO) << line; }}),
      link_(&io_,
            dialect,
            std::move(store),
            [this](const control::StoreAnswer& answer) {
              control_.OnStoreAnswer(answer, transport::SteadyNow());
            }),
      timer_(io_) {}

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

void ControlThread::Leave() {
  asio::post(io_, [this] { control_.Leave(transport::SteadyNow()); });
}

void ControlThread::ReportCrash(uint64_t fingerprint) {
  asio::post(io_, [this, fingerprint] {
    control_.ReportCrash(fingerprint, transport::SteadyNow());
  });
}

void ControlThread::Tick() {
  control_.OnTick(transport::SteadyNow());
  timer_.expires_after(
      std::chrono::milliseconds(absl::ToInt64Milliseconds(kTick)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

}  // namespace baobabwall::edge
