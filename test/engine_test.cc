#include <catch2/catch.hpp>

#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1000);

std::shared_ptr<Snapshot> MakeSnapshot(int slots) {
  base::Findings findings;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = model::Configuration::Empty()->Apply(
      {"t",
       {{{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
        {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}},
        {{model::Kind::kService, "reservas"},
         R"({"tenant": "cantaloma", "class": "transactional"})",
         {}}}},
      1, &findings);
  snapshot->self = {"amba-a-1", 5};
  snapshot->zone = "amba-a";
  snapshot->region = "amba";
  snapshot->is_ready = true;
  BackendView backend;
  backend.name = "r1";
  backend.service = "reservas";
  backend.address = "127.0.0.1";
  backend.port = 9000;
  backend.slot_share = slots;
  backend.health = HealthStatus::kHealthy;
  snapshot->backends.push_back(backend);
  return snapshot;
}

RequestArrival MakeBooking(RequestId id) {
  RequestArrival arrival;
  arrival.id = id;
  arrival.service = "reservas";
  arrival.method = "POST";
  arrival.path = "/book";
  arrival.idempotency_key =
      IdempotencyKey::Prefix({"amba-a-1", 5}, kStart + absl::Minutes(5)) +
      ".n1";
  arrival.deadline = kStart + absl::Seconds(2);
  return arrival;
}

AttemptEnd MakeAttemptEnd(const StartAttempt& start, AttemptResult result) {
  AttemptEnd end;
  end.request = start.request;
  end.attempt = start.attempt;
  end.result = result;
  return end;
}

// Guards against a second run of a booking after its answer was lost.
TEST_CASE("a key is not run again after its connection broke") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  const Actions first = engine->OnArrival(MakeBooking(1), kStart);
  REQUIRE(first.size() == 1);
  const auto start = std::get<StartAttempt>(first[0]);
  const Actions broken = engine->OnAttemptEnd(
      MakeAttemptEnd(start, AttemptResult::kBroken), kStart);
  REQUIRE(broken.size() == 1);
  CHECK(std::get<AnswerCaller>(broken[0]).outcome == base::Outcome::kUnknown);
  const Actions repeated = engine->OnArrival(MakeBooking(2), kStart);
  REQUIRE(repeated.size() == 1);
  CHECK(std::get<AnswerCaller>(repeated[0]).outcome == base::Outcome::kUnknown);
}

// Guards against running a key of a previous incarnation.
TEST_CASE("a key of another incarnation has an unknown outcome") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  RequestArrival arrival = MakeBooking(1);
  arrival.idempotency_key =
      IdempotencyKey::Prefix({"amba-a-1", 4}, kStart + absl::Minutes(5)) +
      ".n1";
  const Actions actions = engine->OnArrival(arrival, kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AnswerCaller>(actions[0]).outcome == base::Outcome::kUnknown);
}

// Guards against more requests in flight at a backend server than the slot
// share.
TEST_CASE("requests above the slot share wait") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(1), kStart);
  RequestArrival first = MakeBooking(1);
  first.idempotency_key.clear();
  RequestArrival second = first;
  second.id = 2;
  const Actions started = engine->OnArrival(first, kStart);
  REQUIRE(started.size() == 1);
  CHECK(engine->OnArrival(second, kStart).empty());
  CHECK(engine->InUse("r1") == 1);
  const Actions next =
      engine->OnAttemptEnd(MakeAttemptEnd(std::get<StartAttempt>(started[0]),
                                          AttemptResult::kCompleted),
                           kStart);
  REQUIRE(next.size() == 1);
  CHECK(std::get<StartAttempt>(next[0]).request == 2);
}

// Adds another instance to which requests can be relayed.
std::shared_ptr<Snapshot> AddPeer(std::shared_ptr<Snapshot> snapshot,
                                  InstanceId id) {
  InstanceView view;
  view.id = std::move(id);
  view.zone = "amba-a";
  view.region = "amba";
  view.address = "127.0.0.2";
  view.caller_port = 8000;
  view.utilisation["reservas"] = 0.1;
  snapshot->instances.push_back(view);
  return snapshot;
}

RequestArrival MakeBookingOfOwner(const InstanceId& owner, RequestId id) {
  RequestArrival arrival = MakeBooking(id);
  arrival.idempotency_key =
      IdempotencyKey::Prefix(owner, kStart + absl::Minutes(5)) + ".n1";
  return arrival;
}

// Guards against a second run at this instance after the owner of the key ran
// the request and became unreachable.
TEST_CASE("a key is not run elsewhere if its owner is unreachable") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(AddPeer(MakeSnapshot(3), {"amba-a-2", 9}), kStart);
  const Actions relay =
      engine->OnArrival(MakeBookingOfOwner({"amba-a-2", 9}, 1), kStart);
  REQUIRE(relay.size() == 1);
  const Actions end =
      engine->OnAttemptEnd(MakeAttemptEnd(std::get<StartAttempt>(relay[0]),
                                          AttemptResult::kConnectFailed),
                           kStart);
  REQUIRE(end.size() == 1);
  REQUIRE(std::holds_alternative<AnswerCaller>(end[0]));
  CHECK(std::get<AnswerCaller>(end[0]).outcome == base::Outcome::kUnknown);
}

// Guards against a run at the incarnation that replaced the owner of the key.
TEST_CASE("a relayed key of a replaced incarnation is not run") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  RequestArrival arrival = MakeBookingOfOwner({"amba-a-1", 4}, 1);
  arrival.is_relayed = true;
  const Actions actions = engine->OnArrival(arrival, kStart);
  REQUIRE(actions.size() == 1);
  REQUIRE(std::holds_alternative<AnswerCaller>(actions[0]));
  CHECK(std::get<AnswerCaller>(actions[0]).outcome == base::Outcome::kUnknown);
}

// Guards against reporting a completed booking as not run because its key was
// sent again while the instance refused all requests.
TEST_CASE("a refusal of a key that has run does not report not run") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  const Actions first = engine->OnArrival(MakeBooking(1), kStart);
  AttemptEnd end = MakeAttemptEnd(std::get<StartAttempt>(first[0]),
                                  AttemptResult::kCompleted);
  end.status = 200;
  engine->OnAttemptEnd(end, kStart);
  auto paused = MakeSnapshot(3);
  paused->is_admitting = false;
  engine->Publish(paused, kStart);
  const Actions repeated = engine->OnArrival(MakeBooking(2), kStart);
  REQUIRE(repeated.size() == 1);
  CHECK(std::get<AnswerCaller>(repeated[0]).outcome != base::Outcome::kNotRun);
  RequestArrival late = MakeBooking(3);
  late.deadline = kStart;
  const Actions expired = engine->OnArrival(late, kStart);
  REQUIRE(expired.size() == 1);
  CHECK(std::get<AnswerCaller>(expired[0]).outcome != base::Outcome::kNotRun);
}

// Guards against recording a relayed answer with unknown outcome as a run.
TEST_CASE("a relayed answer with unknown outcome keeps that outcome") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(AddPeer(MakeSnapshot(0), {"amba-a-2", 9}), kStart);
  const Actions relay = engine->OnArrival(MakeBooking(1), kStart);
  REQUIRE(relay.size() == 1);
  AttemptEnd end = MakeAttemptEnd(std::get<StartAttempt>(relay[0]),
                                  AttemptResult::kCompleted);
  end.status = 409;
  end.relayed_outcome = base::Outcome::kUnknown;
  end.answer = "{}";
  end.was_answer_started = true;
  engine->OnAttemptEnd(end, kStart);
  const Actions repeated = engine->OnArrival(MakeBooking(2), kStart);
  REQUIRE(repeated.size() == 1);
  CHECK(std::get<AnswerCaller>(repeated[0]).outcome == base::Outcome::kUnknown);
}

// Guards against writing a second response head into the body of a truncated
// answer.
TEST_CASE("no second answer is sent after a truncated answer") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  const Actions first = engine->OnArrival(MakeBooking(1), kStart);
  AttemptEnd end = MakeAttemptEnd(std::get<StartAttempt>(first[0]),
                                  AttemptResult::kTruncated);
  end.was_answer_started = true;
  CHECK(engine->OnAttemptEnd(end, kStart).empty());
  CHECK(engine->in_flight() == 0);
}

// Guards against losing the answer of a booking when the caller closes its
// connection: the run continues, and the next send of the key gets the answer.
TEST_CASE("the run of a key continues after its caller disconnected") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(3), kStart);
  const Actions first = engine->OnArrival(MakeBooking(1), kStart);
  CHECK(engine->OnCallerDisconnected(1, kStart).empty());
  CHECK(engine->OnAnswerStart(1, std::get<StartAttempt>(first[0]).attempt));
  AttemptEnd end = MakeAttemptEnd(std::get<StartAttempt>(first[0]),
                                  AttemptResult::kCompleted);
  end.status = 201;
  end.answer = "seat 5";
  end.answer_bytes = 6;
  end.answer_headers = {{"Content-Type", "text/plain"}};
  CHECK(engine->OnAttemptEnd(end, kStart).empty());
  const Actions repeated = engine->OnArrival(MakeBooking(2), kStart);
  const auto& answer = std::get<AnswerCaller>(repeated.at(0));
  CHECK(answer.outcome == base::Outcome::kRun);
  CHECK(answer.status == 201);
  CHECK(answer.body == "seat 5");
  CHECK(answer.headers == end.answer_headers);
}

// Guards against a retry that blocks the queue of its service because the only
// server has already failed the request.
TEST_CASE("a waiting retry can use a target that failed before") {
  const auto engine = Engine::Builder().Build();
  engine->Publish(MakeSnapshot(2), kStart);
  std::vector<StartAttempt> starts;
  for (RequestId id : {1, 2, 3}) {
    RequestArrival arrival = MakeBooking(id);
    arrival.method = "GET";
    arrival.path = std::to_string(id);
    for (const Action& action : engine->OnArrival(arrival, kStart)) {
      starts.push_back(std::get<StartAttempt>(action));
    }
  }
  REQUIRE(starts.size() == 2);
  engine->Publish(MakeSnapshot(1), kStart);
  CHECK(engine
            ->OnAttemptEnd(MakeAttemptEnd(starts[0], AttemptResult::kTruncated),
                           kStart)
            .empty());
  const Actions third = engine->OnAttemptEnd(
      MakeAttemptEnd(starts[1], AttemptResult::kCompleted), kStart);
  REQUIRE(third.size() == 1);
  const Actions retry =
      engine->OnAttemptEnd(MakeAttemptEnd(std::get<StartAttempt>(third[0]),
                                          AttemptResult::kCompleted),
                           kStart);
  REQUIRE(retry.size() == 1);
  CHECK(std::get<StartAttempt>(retry[0]).request == 1);
}

// Guards against a chart in which requests never end, or in which an event
// lacks the data that an action needs.
TEST_CASE("an invalid request chart is rejected with all findings") {
  std::string text = kRequestChartText;
  for (const char* line :
       {"complete = ended / record\n", "start = waiting / answer\n"}) {
    text.insert(text.find("[state answering]\n") + 18, line);
  }
  text.erase(text.find("lost = ended / record\ncaller_gone"), 22);
  text.insert(text.find("[state waiting]\n") + 16,
              "caller_gon = ended\nlost = ended / send\n");
  base::Findings findings;
  CHECK(Engine::Builder().Chart("x.chart", text).Build(&findings) == nullptr);
  CHECK(findings.ToString().find("caller_gon (") != std::string::npos);
  findings = base::Findings();
  const char* const short_chart =
      "[chart]\nname = request\ninitial = arrived\n"
      "[state arrived]\nstart = attempting / cancel\n"
      "[state attempting]\ncomplete = ended\nnot_run = ended\n"
      "[state ended]\nfinal = yes\n";
  CHECK(Engine::Builder().Chart("x.chart", short_chart).Build(&findings) ==
        nullptr);
  const std::string all = findings.ToString();
  CHECK(all.find("in state attempting on lost") != std::string::npos);
  CHECK(all.find("cannot do cancel on start") != std::string::npos);
}

}  // namespace
}  // namespace baobabwall::steer
