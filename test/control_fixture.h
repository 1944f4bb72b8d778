#ifndef TEST_CONTROL_FIXTURE_H_
#define TEST_CONTROL_FIXTURE_H_

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace baobabwall::gateway {

using control::StoreAnswer;
using control::StoreRequest;
using control::StoreStatus;

inline const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

inline StoreAnswer Ok(int64_t revision = 1) {
  StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  answer.revision = revision;
  return answer;
}

inline StoreAnswer Failed(StoreStatus status) {
  StoreAnswer answer;
  answer.status = status;
  return answer;
}

inline InstanceRecord Self() {
  InstanceRecord record;
  record.name = "self";
  record.incarnation = 7;
  record.zone = "a-1";
  record.region = "a";
  record.callers = {"10.0.0.1", 80};
  return record;
}

inline InstanceRecord Second() {
  InstanceRecord record = Self();
  record.name = "two";
  record.callers.address = "10.0.0.2";
  record.peer_port = 90;
  return record;
}

/// Returns the record of the only instance of its region.
inline InstanceRecord Third() {
  InstanceRecord record = Second();
  record.name = "three";
  record.region = "b";
  record.callers.address = "10.0.0.3";
  return record;
}

/// A GatewayControl whose store answers are supplied by the test.
class ControlFixture {
 public:
  ControlFixture()
      : control(
            Self(),
            1,
            {[this](const control::StoreKeyValue& item) {
               return Decode(item);
             },
             [this](control::StoreCall call) {
               calls.push_back(std::move(call));
             },
             [this](std::shared_ptr<const ControlView> published) {
               view = std::move(published);
             },
             [](const std::string&) {},
             [this](const Endpoint& peer, control::StoreCall call) {
               peer_calls.emplace_back(peer, std::move(call));
             },
             [this](PeerCallId id, std::shared_ptr<const StoreAnswer> answer) {
               peer_answers[id] = *answer;
             },
             [this](absl::string_view kind, control::StoreStatus) {
               ++ended_calls[std::string(kind)];
             }}) {}

  /// Decodes the key "config" with a version as value, the key "crash", the
  /// record keys of Second() and Third(), and server ids.
  std::optional<StateChange> Decode(const control::StoreKeyValue& item) {
    if (item.key == "config") {
      RoutingConfig::Builder builder;
      builder.Version(std::stoll(item.value));
      return ConfigWritten{builder.Build()};
    }
    if (item.key == "crash") {
      return CrashReported{0xabc, item.is_deleted};
    }
    if (const auto record = InstanceRecord::Decode(item.value)) {
      return InstanceWritten{*record};
    }
    for (const InstanceRecord& record : {Second(), Third()}) {
      if (item.key == record.Key()) {
        return InstanceWritten{record};
      }
    }
    if (item.is_deleted) {
      return BackendRemoved{item.key};
    }
    BackendServer server;
    server.id = item.key;
    return BackendWritten{server};
  }

  /// \returns whether the call belongs to the reader of the state.
  static bool IsRead(const control::StoreRequest& request) {
    const auto* range = std::get_if<control::StoreRange>(&request);
    return range == nullptr
               ? std::holds_alternative<control::StoreWatch>(request)
               : !range->allow_stale;
  }

  /// Answers the pending read or watch.
  void AnswerReader(StoreAnswer answer, absl::Time now) {
    control.OnTick(now);
    AnswerInstanceRead(Failed(StoreStatus::kUnknown), now);
    for (size_t i = 0; i < calls.size(); ++i) {
      if (!IsRead(calls[i].request)) {
        continue;
      }
      answer.id = calls[i].id;
      calls.erase(calls.begin() + i);
      control.OnStoreAnswer(answer, now);
      return;
    }
    FAIL("no read is pending");
  }

  /// Answers the pending calls of the registration.
  void AnswerRegistration(StoreAnswer answer, absl::Time now) {
    std::vector<control::StoreCall> pending = std::exchange(calls, {});
    for (control::StoreCall& call : pending) {
      if (IsRead(call.request)) {
        calls.push_back(std::move(call));
        continue;
      }
      answer.id = call.id;
      control.OnStoreAnswer(answer, now);
    }
  }

  /// Answers the pending read of the instances' records, if there is one.
  void AnswerInstanceRead(StoreAnswer answer, absl::Time now) {
    for (size_t i = 0; i < calls.size(); ++i) {
      const auto* range = std::get_if<control::StoreRange>(&calls[i].request);
      if (range == nullptr || range->prefix != kInstancePrefix) {
        continue;
      }
      answer.id = calls[i].id;
      calls.erase(calls.begin() + static_cast<ptrdiff_t>(i));
      control.OnStoreAnswer(answer, now);
      return;
    }
  }

  /// Answers the reads of the store's revision.
  void AnswerProbes(int64_t revision, absl::Time now) {
    std::vector<control::StoreCall> pending = std::exchange(calls, {});
    for (control::StoreCall& call : pending) {
      const auto* range = std::get_if<control::StoreRange>(&call.request);
      if (range == nullptr || !range->allow_stale) {
        calls.push_back(std::move(call));
        continue;
      }
      StoreAnswer answer = Ok(revision);
      answer.id = call.id;
      control.OnStoreAnswer(answer, now);
    }
  }

  std::vector<control::StoreCall> calls;
  std::vector<std::pair<Endpoint, control::StoreCall>> peer_calls;
  std::map<PeerCallId, StoreAnswer> peer_answers;
  std::map<std::string, int> ended_calls;  ///< Number of ended calls by kind.
  std::shared_ptr<const ControlView> view;
  GatewayControl control;
};

}  // namespace baobabwall::gateway

#endif  // TEST_CONTROL_FIXTURE_H_
