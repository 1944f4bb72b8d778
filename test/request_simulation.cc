#include "request_simulation.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::steer {
namespace {

constexpr size_t kKeyCapacity = 8;
constexpr int kBurstRequests = 12;
constexpr int kMaxAttempts = 4;
constexpr size_t kMaxMessages = 60;

}  // namespace

const char* RequestSimulation::NameOf(Step step) {
  static const char* const kNames[kStepCount] = {"send",
                                                 "resend",
                                                 "burst",
                                                 "deliver",
                                                 "deliver all",
                                                 "truncate",
                                                 "duplicate",
                                                 "break connection",
                                                 "break all connections",
                                                 "time out",
                                                 "refuse",
                                                 "refuse all",
                                                 "disconnect caller",
                                                 "crash server",
                                                 "replace",
                                                 "partition",
                                                 "pause",
                                                 "refresh",
                                                 "advance",
                                                 "tick"};
  return kNames[static_cast<int>(step)];
}

RequestSimulation::RequestSimulation(const Rules& rules,
                                     const std::string& chart)
    : rules_(rules),
      chart_(chart),
      now_(absl::UnixEpoch() + absl::Hours(1000)) {
  base::Findings findings;
  configuration_ = model::Configuration::Empty()->Apply(
      {"t",
       {{{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
        {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}},
        {{model::Kind::kService, "reservas"},
         R"({"tenant": "cantaloma", "class": "transactional"})",
         {}}}},
      1, &findings);
  instances_.resize(3);
  for (size_t i = 0; i < instances_.size(); ++i) {
    instances_[i].id = {std::string(1, static_cast<char>('a' + i)), 0};
    Replace(i);
  }
  for (size_t i = 0; i < instances_.size(); ++i) {
    Execute(Step::kRefresh, static_cast<int>(i), 0);
  }
}

void RequestSimulation::Check(bool holds, const std::string& what) const {
  if (!holds) {
    RC_FAIL(what);
  }
}

absl::Time RequestSimulation::Now(size_t instance) const {
  return now_ + instances_[instance].skew;
}

size_t RequestSimulation::IndexOf(const std::string& instance) const {
  return static_cast<size_t>(instance[0] - 'a');
}

bool RequestSimulation::IsCurrent(const Connection& connection) const {
  return instances_[connection.instance].id.incarnation ==
         connection.incarnation;
}

std::shared_ptr<Snapshot> RequestSimulation::SnapshotOf(size_t index) const {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = configuration_;
  snapshot->self = instances_[index].id;
  snapshot->zone = "amba-a";
  snapshot->region = "amba";
  snapshot->is_ready = true;
  snapshot->is_admitting = !instances_[index].is_paused;
  for (const Instance& instance : instances_) {
    InstanceView view;
    view.id = instance.id;
    view.zone = "amba-a";
    view.region = "amba";
    view.utilisation["reservas"] = 0.1;
    snapshot->instances.push_back(view);
    for (const auto& [fingerprint, until] : instance.quarantined) {
      absl::Time& known_end = snapshot->quarantined[fingerprint];
      known_end = std::max(known_end, until);
    }
  }
  // The first instance has no slot share and relays all requests.
  for (const char* name : {"r1", "r2", "r3"}) {
    BackendView backend;
    backend.name = name;
    backend.service = "reservas";
    backend.slot_share = index == 0 ? 0 : 6;
    backend.health = HealthStatus::kHealthy;
    snapshot->backends.push_back(backend);
  }
  return snapshot;
}

void RequestSimulation::Replace(size_t index) {
  for (size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = connections_[i];
    if (connection.instance == index && IsCurrent(connection)) {
      connection.is_open = false;
    }
  }
  Instance& instance = instances_[index];
  const std::map<RequestId, Origin> origins = std::move(instance.origins);
  const int64_t incarnation = instance.id.incarnation + 1;
  Instance replacement;
  replacement.id = {instance.id.name, incarnation};
  replacement.skew = instance.skew;
  replacement.engine = Engine::Builder()
                           .Seed(++last_seed_)
                           .KeyCapacity(kKeyCapacity)
                           .QueueLength(6)
                           .Chart("request.chart", chart_)
                           .Rules(rules_)
                           .Build();
  instance = std::move(replacement);
  instance.engine->Publish(SnapshotOf(index), Now(index));
  for (const auto& [request, origin] : origins) {
    if (origin.is_relay) {
      End(origin.connection, AttemptResult::kBroken);
    } else {
      sends_[origin.send].is_open = false;
    }
  }
}

size_t RequestSimulation::AddCallerRequest(int first_argument) {
  CallerRequest caller_request;
  caller_request.kind = static_cast<Kind>(first_argument % 4);
  RequestArrival& arrival = caller_request.arrival;
  arrival.service = "reservas";
  const bool is_post = caller_request.kind == Kind::kBooking ||
                       caller_request.kind == Kind::kUnkeyed;
  arrival.method = is_post ? "POST" : "GET";
  arrival.path = caller_request.kind == Kind::kCrashing ? "/kill"
                 : is_post ? absl::StrCat("/", caller_requests_.size())
                           : absl::StrCat("/list/", first_argument / 4 % 3);
  arrival.body_hash = 7;
  if (caller_request.kind == Kind::kBooking) {
    const Instance& owner = instances_[first_argument / 4 % instances_.size()];
    arrival.idempotency_key =
        absl::StrCat(IdempotencyKey::Prefix(owner.id, now_ + kKeyLifetime), ".",
                     caller_requests_.size());
  }
  caller_requests_.push_back(std::move(caller_request));
  return caller_requests_.size() - 1;
}

void RequestSimulation::SendTo(size_t caller_request, size_t instance) {
  if (messages_.size() >= kMaxMessages) {
    return;
  }
  Send send;
  send.caller_request = caller_request;
  send.earlier_runs = caller_requests_[caller_request].runs;
  sends_.push_back(send);
  Message message;
  message.type = Message::Type::kToInstance;
  message.send = sends_.size() - 1;
  message.receiver = instances_[instance].id.name;
  message.arrival = caller_requests_[caller_request].arrival;
  message.remaining_time = absl::Seconds(2);
  messages_.push_back(std::move(message));
}

void RequestSimulation::HandleArrival(const Message& message) {
  const size_t index = IndexOf(message.receiver);
  if (message.is_relay) {
    const size_t from = connections_[message.connection].instance;
    if (partitions_.count(std::minmax({from, index})) > 0) {
      End(message.connection, AttemptResult::kBroken);
      return;
    }
  }
  Instance& instance = instances_[index];
  RequestArrival arrival = message.arrival;
  arrival.id = ++last_request_;
  arrival.deadline = Now(index) + message.remaining_time;
  instance.origins[arrival.id] = {message.is_relay, message.connection,
                                  message.send};
  ApplyActions(index, instance.engine->OnArrival(arrival, Now(index)));
  Check(instance.engine->keys() <= kKeyCapacity,
        "the key table exceeds its capacity");
}

void RequestSimulation::ApplyActions(size_t index, const Actions& actions) {
  for (const Action& action : actions) {
    Instance& instance = instances_[index];
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      OpenConnection(index, *start);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      const auto origin = instance.origins.find(answer->request);
      Check(origin != instance.origins.end(), "a request was answered twice");
      const Origin origin_copy = origin->second;
      instance.origins.erase(origin);
      // An outcome that the owner of a key reports must be true for all sends
      // of the key.
      const CallerRequest& caller_request =
          caller_requests_[sends_[origin_copy.send].caller_request];
      const auto key =
          IdempotencyKey::Parse(caller_request.arrival.idempotency_key);
      Check(answer->outcome != base::Outcome::kNotRun || !key ||
                !(key->owner == instance.id) || caller_request.runs == 0,
            "the owner of a key reported not run after a run");
      SendAnswer(origin_copy, *answer);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      for (size_t c = 0; c < connections_.size(); ++c) {
        const Connection& connection = connections_[c];
        if (!connection.is_open || connection.instance != index ||
            !IsCurrent(connection) ||
            connection.start.attempt != cancel->attempt) {
          continue;
        }
        const auto undelivered = std::find_if(
            messages_.begin(), messages_.end(), [&](const Message& m) {
              return m.type == Message::Type::kToServer && m.connection == c;
            });
        const bool is_confirmed = undelivered != messages_.end();
        if (is_confirmed) {
          messages_.erase(undelivered);
        }
        connections_[c].is_cancelled = true;
        End(c,
            is_confirmed ? AttemptResult::kCancelled : AttemptResult::kBroken);
        break;
      }
    }
  }
  for (const QuarantineNotice& notice :
       instances_[index].engine->TakeQuarantineNotices()) {
    instances_[index].quarantined[notice.fingerprint] = notice.until;
  }
}

void RequestSimulation::OpenConnection(size_t index,
                                       const StartAttempt& start) {
  Instance& instance = instances_[index];
  const auto origin = instance.origins.find(start.request);
  Check(origin != instance.origins.end(),
        "an attempt was started for an ended request");
  Connection connection;
  connection.instance = index;
  connection.incarnation = instance.id.incarnation;
  connection.start = start;
  connection.send = origin->second.send;
  CheckStart(&instance, &connection);
  connections_.push_back(connection);
  const size_t id = connections_.size() - 1;
  const CallerRequest& caller_request =
      caller_requests_[sends_[connection.send].caller_request];
  Message message;
  message.connection = id;
  message.send = connection.send;
  message.receiver = start.target.name;
  if (start.target.type == Target::Type::kBackendServer) {
    if (crashed_servers_.count(start.target.name) > 0) {
      End(id, AttemptResult::kConnectFailed);
      return;
    }
    ++instance.in_flight[caller_request.arrival.path];
    message.type = Message::Type::kToServer;
  } else {
    if (partitions_.count(std::minmax({index, IndexOf(message.receiver)})) >
        0) {
      End(id, AttemptResult::kConnectFailed);
      return;
    }
    message.type = Message::Type::kToInstance;
    message.is_relay = true;
    message.arrival = caller_request.arrival;
    message.remaining_time = start.deadline - Now(index);
    message.arrival.is_relayed = true;
    const auto mark = RelayMark::Parse(start.relay.ToString());
    Check(mark.has_value(), "a relay mark could not be parsed");
    message.arrival.relay = *mark;
  }
  messages_.push_back(std::move(message));
}

void RequestSimulation::CheckStart(Instance* instance, Connection* connection) {
  const RequestId id = connection->start.request;
  const bool is_relayed = instance->origins[id].is_relay;
  const int attempts = ++instance->attempts[id];
  Check(attempts <= kMaxAttempts,
        "a request exceeded the maximum number of attempts");
  if (attempts == 1) {
    ++instance->first_attempt_count;
  } else {
    Check(!is_relayed, "a relayed request was retried at the relay target");
  }
  Check(now_ + instance->skew < connection->start.deadline,
        "an attempt was started after the deadline");
  if (instance->has_unknown_result[id]) {
    ++instance->retry_count;
    const double limit = 10 + 0.1 * instance->first_attempt_count +
                         absl::ToDoubleSeconds(instance->elapsed);
    Check(instance->retry_count <= limit + 0.001,
          "retries exceed their budget");
  }
  if (connection->start.target.type != Target::Type::kBackendServer ||
      was_clock_set_back_) {
    return;
  }
  const std::string& path =
      caller_requests_[sends_[connection->send].caller_request].arrival.path;
  const auto found = instance->suspects.find(path);
  if (found == instance->suspects.end()) {
    return;
  }
  Check(now_ >= found->second.quarantine_end,
        "an attempt of a quarantined request was started");
  connection->was_suspect =
      now_ - found->second.first_crash < absl::Seconds(60);
  Check(!connection->was_suspect || instance->in_flight[path] == 0,
        "two attempts of a suspect are in flight");
}

void RequestSimulation::RunAtServer(const Message& message) {
  Send& send = sends_[message.send];
  CallerRequest& caller_request = caller_requests_[send.caller_request];
  ++caller_request.runs;
  ++send.runs;
  Check(caller_request.kind != Kind::kBooking || caller_request.runs <= 1,
        "a booking ran twice");
  Check(caller_request.kind != Kind::kUnkeyed || send.runs <= 1,
        "a request without a key ran twice");
  Check(!send.was_reported_not_run,
        "a request ran after it was reported as not run");
  if (caller_request.kind == Kind::kCrashing) {
    CrashServer(message.receiver);
    crashed_servers_.erase(message.receiver);
    return;
  }
  Message answer;
  answer.type = Message::Type::kAnswer;
  answer.connection = message.connection;
  answer.send = message.send;
  answer.sending_server = message.receiver;
  answer.answer.status = 200;
  answer.answer.outcome = base::Outcome::kRun;
  answer.answer.body = absl::StrCat("request ", send.caller_request);
  messages_.push_back(std::move(answer));
}

void RequestSimulation::DeliverAnswer(const Message& message,
                                      bool is_truncated) {
  const Connection connection = connections_[message.connection];
  if (!IsCurrent(connection)) {
    return;
  }
  Instance& instance = instances_[connection.instance];
  const bool is_relay = message.sending_server.empty();
  AttemptEnd end;
  end.result =
      is_truncated ? AttemptResult::kTruncated : AttemptResult::kCompleted;
  end.status = message.answer.status;
  end.relayed_outcome = message.answer.outcome;
  if (is_relay && message.answer.outcome != base::Outcome::kRun) {
    const bool is_refusal = message.answer.outcome == base::Outcome::kNotRun;
    end.result =
        is_refusal && !is_truncated ? AttemptResult::kRefused : end.result;
    End(message.connection, end);
    return;
  }
  if (!instance.engine->OnAnswerStart(connection.start.request,
                                      connection.start.attempt)) {
    End(message.connection, AttemptResult::kBroken);
    return;
  }
  const auto origin = instance.origins.find(connection.start.request);
  if (origin != instance.origins.end()) {
    AnswerCaller answer = message.answer;
    answer.outcome = is_relay ? message.answer.outcome : base::Outcome::kRun;
    if (!is_truncated) {
      SendAnswer(origin->second, answer);
    } else if (origin->second.is_relay) {
      End(origin->second.connection, AttemptResult::kBroken);
    } else if (sends_[origin->second.send].is_open) {
      sends_[origin->second.send].is_open = false;
      ++sends_[origin->second.send].answers;
    }
  }
  end.was_answer_started = true;
  if (!is_truncated) {
    end.answer = message.answer.body;
    end.answer_bytes = static_cast<int64_t>(end.answer.size());
  }
  End(message.connection, end);
}

void RequestSimulation::SendAnswer(const Origin& origin,
                                   const AnswerCaller& answer) {
  if (!origin.is_relay) {
    HandleCallerAnswer(origin.send, answer);
    return;
  }
  Message message;
  message.type = Message::Type::kAnswer;
  message.connection = origin.connection;
  message.send = origin.send;
  message.answer = answer;
  messages_.push_back(std::move(message));
}

void RequestSimulation::HandleCallerAnswer(size_t id,
                                           const AnswerCaller& answer) {
  Send& send = sends_[id];
  const CallerRequest& caller_request = caller_requests_[send.caller_request];
  if (!send.is_open && send.answers == 0) {
    return;  // The caller has disconnected.
  }
  Check(++send.answers == 1, "a caller got two answers");
  send.is_open = false;
  const bool is_keyed = caller_request.kind == Kind::kBooking;
  if (answer.outcome == base::Outcome::kNotRun) {
    // Runs of later sends of the key do not count: each send has its own
    // answer.
    Check(send.runs == 0 && (!is_keyed || send.earlier_runs == 0),
          "a request that ran was reported as not run");
    send.was_reported_not_run = true;
  }
  if (answer.outcome == base::Outcome::kRun) {
    Check((is_keyed ? caller_request.runs : send.runs) > 0,
          "a request that did not run was reported as run");
    Check(answer.status == 409 ||
              answer.body == absl::StrCat("request ", send.caller_request),
          "a caller got the answer to another request");
  }
}

void RequestSimulation::End(size_t id, AttemptResult result) {
  AttemptEnd end;
  end.result = result;
  End(id, end);
}

void RequestSimulation::End(size_t id, AttemptEnd end) {
  Connection& connection = connections_[id];
  end.request = connection.start.request;
  end.attempt = connection.start.attempt;
  if (!IsCurrent(connection)) {
    return;
  }
  if (connection.is_open) {
    connection.is_open = false;
    RecordEnd(connection, end);
  }
  const size_t index = connection.instance;
  Engine* engine = instances_[index].engine.get();
  const Actions actions = engine->OnAttemptEnd(end, Now(index));
  if (end.was_answer_started) {
    instances_[index].origins.erase(end.request);
  }
  ApplyActions(index, actions);
}

void RequestSimulation::RecordEnd(const Connection& connection,
                                  const AttemptEnd& end) {
  Instance& instance = instances_[connection.instance];
  const bool is_not_run = end.result == AttemptResult::kConnectFailed ||
                          end.result == AttemptResult::kRefused ||
                          end.result == AttemptResult::kCancelled;
  instance.has_unknown_result[end.request] = !is_not_run;
  if (connection.start.target.type != Target::Type::kBackendServer ||
      end.result == AttemptResult::kConnectFailed) {
    return;
  }
  const std::string& path =
      caller_requests_[sends_[connection.send].caller_request].arrival.path;
  --instance.in_flight[path];
  SuspectState& suspect = instance.suspects[path];
  if (end.result == AttemptResult::kCompleted) {
    suspect.first_crash = absl::InfinitePast();
  }
  if (end.result != AttemptResult::kBroken || connection.is_cancelled) {
    return;
  }
  if (now_ - suspect.first_crash >= absl::Seconds(60)) {
    suspect.first_crash = now_;
  } else if (connection.was_suspect) {
    suspect.quarantine_end = now_ + absl::Minutes(10);
    suspect.first_crash = absl::InfinitePast();
  }
}

void RequestSimulation::CrashServer(const std::string& name) {
  crashed_servers_.insert(name);
  messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                 [&](const Message& m) {
                                   return m.sending_server == name ||
                                          (m.type == Message::Type::kToServer &&
                                           m.receiver == name);
                                 }),
                  messages_.end());
  for (size_t c = 0; c < connections_.size(); ++c) {
    const Connection& connection = connections_[c];
    if (connection.is_open && connection.start.target.name == name &&
        IsCurrent(connection)) {
      End(c, AttemptResult::kBroken);
    }
  }
}

void RequestSimulation::DropMessage(size_t index) {
  const Message message = messages_[index];
  messages_.erase(messages_.begin() + static_cast<ptrdiff_t>(index));
  if (message.type == Message::Type::kToInstance && !message.is_relay) {
    sends_[message.send].is_open = false;
    return;
  }
  if (connections_[message.connection].is_open) {
    End(message.connection, AttemptResult::kBroken);
  }
}

void RequestSimulation::Deliver(size_t index, bool is_truncated) {
  const Message message = messages_[index];
  messages_.erase(messages_.begin() + static_cast<ptrdiff_t>(index));
  switch (message.type) {
    case Message::Type::kToInstance:
      HandleArrival(message);
      break;
    case Message::Type::kToServer:
      if (crashed_servers_.count(message.receiver) == 0) {
        RunAtServer(message);
      } else if (connections_[message.connection].is_open) {
        End(message.connection, AttemptResult::kBroken);
      }
      break;
    case Message::Type::kAnswer:
      DeliverAnswer(message, is_truncated);
      break;
  }
}

void RequestSimulation::DisconnectCaller(size_t choice) {
  std::vector<std::pair<size_t, RequestId>> open_requests;
  for (size_t i = 0; i < instances_.size(); ++i) {
    for (const auto& [request, origin] : instances_[i].origins) {
      if (origin.is_relay ? !connections_[origin.connection].is_open
                          : sends_[origin.send].is_open) {
        open_requests.emplace_back(i, request);
      }
    }
  }
  if (open_requests.empty()) {
    return;
  }
  const auto [index, request] = open_requests[choice % open_requests.size()];
  const Origin origin = instances_[index].origins[request];
  if (!origin.is_relay) {
    sends_[origin.send].is_open = false;
  }
  ApplyActions(index, instances_[index].engine->OnCallerDisconnected(
                          request, Now(index)));
}

void RequestSimulation::AdvanceClock(int choice) {
  static const absl::Duration kClockSteps[] = {
      absl::Milliseconds(1), absl::Milliseconds(100), absl::Seconds(1),
      absl::Seconds(3),      absl::Seconds(30),       absl::Minutes(11),
      absl::Minutes(40),     -absl::Seconds(30),      -absl::Minutes(40)};
  const absl::Duration clock_step = kClockSteps[choice % 9];
  now_ += clock_step;
  was_clock_set_back_ =
      was_clock_set_back_ || clock_step < absl::ZeroDuration();
  for (Instance& instance : instances_) {
    instance.elapsed += std::max(clock_step, absl::ZeroDuration());
  }
}

void RequestSimulation::Execute(Step step,
                                int first_argument,
                                int second_argument) {
  const auto choice = static_cast<size_t>(first_argument);
  const size_t index = choice % instances_.size();
  const size_t message = messages_.empty() ? 0 : choice % messages_.size();
  Instance& instance = instances_[index];
  switch (step) {
    case Step::kSend:
      SendTo(AddCallerRequest(first_argument),
             static_cast<size_t>(second_argument) % instances_.size());
      break;
    case Step::kResend:
      if (!caller_requests_.empty()) {
        SendTo(choice % caller_requests_.size(),
               static_cast<size_t>(second_argument) % 3);
      }
      break;
    case Step::kSendBurst:
      for (int i = 0; i < kBurstRequests; ++i) {
        SendTo(AddCallerRequest(first_argument),
               static_cast<size_t>(second_argument) % instances_.size());
      }
      break;
    case Step::kDeliver:
    case Step::kTruncate:
      if (!messages_.empty()) {
        Deliver(message, step == Step::kTruncate);
      }
      break;
    case Step::kDeliverAll:
      for (size_t left = messages_.size(); left > 0 && !messages_.empty();
           --left) {
        Deliver(0, false);
      }
      break;
    case Step::kDuplicate:
      if (!messages_.empty() && messages_.size() < kMaxMessages &&
          (messages_[message].is_relay ||
           messages_[message].type == Message::Type::kAnswer)) {
        messages_.push_back(messages_[message]);
      }
      break;
    case Step::kBreakConnection:
      if (!messages_.empty()) {
        DropMessage(message);
      }
      break;
    case Step::kBreakAllConnections:
      for (size_t left = messages_.size(); left > 0 && !messages_.empty();
           --left) {
        DropMessage(0);
      }
      break;
    case Step::kTimeOut:
      for (size_t i = 0; i < connections_.size(); ++i) {
        const size_t c = (choice + i) % connections_.size();
        if (connections_[c].is_open) {
          End(c, AttemptResult::kTimedOut);
          break;
        }
      }
      break;
    case Step::kRefuse:
    case Step::kRefuseAll:
      for (size_t left = step == Step::kRefuse ? 1 : messages_.size(), i = 0;
           left > 0 && i < messages_.size();) {
        if (messages_[i].type != Message::Type::kToServer) {
          ++i;
          continue;
        }
        const size_t connection = messages_[i].connection;
        messages_.erase(messages_.begin() + static_cast<ptrdiff_t>(i));
        End(connection, AttemptResult::kRefused);
        --left;
      }
      break;
    case Step::kDisconnectCaller:
      DisconnectCaller(choice);
      break;
    case Step::kCrashServer: {
      const std::string name = absl::StrCat("r", 1 + first_argument % 3);
      if (crashed_servers_.erase(name) == 0) {
        CrashServer(name);
      }
      break;
    }
    case Step::kReplace:
      Replace(index);
      break;
    case Step::kPartition: {
      const std::pair<size_t, size_t> pair =
          std::minmax({index, (index + 1) % instances_.size()});
      if (partitions_.erase(pair) == 0) {
        partitions_.insert(pair);
      }
      break;
    }
    case Step::kPause:
      instance.is_paused = !instance.is_paused;
      ApplyActions(index,
                   instance.engine->Publish(SnapshotOf(index), Now(index)));
      break;
    case Step::kRefresh:
      for (const Instance& other : instances_) {
        for (const auto& [path, suspect] : other.suspects) {
          absl::Time& until = instance.suspects[path].quarantine_end;
          until = std::max(until, suspect.quarantine_end);
        }
        // Each instance also forwards the quarantines of other instances.
        for (const auto& [fingerprint, until] : other.quarantined) {
          absl::Time& known_end = instance.quarantined[fingerprint];
          known_end = std::max(known_end, until);
        }
      }
      ApplyActions(index,
                   instance.engine->Publish(SnapshotOf(index), Now(index)));
      break;
    case Step::kAdvance:
      if (second_argument == 0) {
        AdvanceClock(first_argument);
      } else {
        instance.skew += absl::Minutes(2 * first_argument - 36);
        instance.elapsed += absl::Minutes(std::max(2 * first_argument - 36, 0));
        was_clock_set_back_ = true;
      }
      break;
    case Step::kTick:
      ApplyActions(index, instance.engine->OnTick(Now(index)));
      break;
  }
}

void RequestSimulation::Finish() {
  for (bool has_work = true; has_work;) {
    while (!messages_.empty()) {
      Deliver(0, false);
    }
    has_work = false;
    for (size_t c = 0; c < connections_.size(); ++c) {
      if (connections_[c].is_open && IsCurrent(connections_[c])) {
        End(c, AttemptResult::kTimedOut);
        has_work = true;
      }
    }
    AdvanceClock(3);
    for (size_t i = 0; i < instances_.size(); ++i) {
      Execute(Step::kTick, static_cast<int>(i), 0);
    }
    has_work = has_work || !messages_.empty();
  }
  for (const Instance& instance : instances_) {
    Check(instance.engine->in_flight() == 0, "a request did not end");
    for (const char* name : {"r1", "r2", "r3"}) {
      Check(instance.engine->InUse(name) == 0, "a slot was not released");
    }
  }
  for (const Send& send : sends_) {
    Check(!send.is_open, "a caller received no answer");
  }
}

}  // namespace baobabwall::steer
