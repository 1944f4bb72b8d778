#include <catch2/catch.hpp>

#include "daemon/daemon.h"

namespace baobabwall::daemon {
namespace {

// Guards against admitting a request after the process was paused and before
// the control thread has detected the pause.
TEST_CASE("no request is admitted between a pause and the next tick") {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  Traffic traffic(steer::Engine::Builder().Build(), [&] { return now; });
  const auto submit_with_key = [&](const char* key) {
    steer::RequestArrival arrival;
    arrival.id = traffic.NewRequestId();
    arrival.idempotency_key = key;
    traffic.SubmitRequest(arrival);
    return std::get<steer::AnswerCaller>(*traffic.NextAction(arrival.id));
  };
  traffic.Tick();
  now += absl::Seconds(1);
  CHECK(submit_with_key("").reason != "the instance was paused");
  now += absl::Seconds(5);
  CHECK(submit_with_key("").reason == "the instance was paused");
  CHECK(submit_with_key("").outcome == base::Outcome::kNotRun);
  CHECK(submit_with_key("a.1.2.n").outcome == base::Outcome::kUnknown);
  traffic.Tick();
  CHECK(submit_with_key("").reason != "the instance was paused");
}

}  // namespace
}  // namespace baobabwall::daemon
