#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

#include "free_port.h"
#include "mutate.h"
#include "transport/transport.h"

namespace baobabwall::transport {
namespace {

using control::PeerMessage;

control::Identity MakeIdentity(const std::string& name, int port) {
  return {{name, 1'700'000'000'000}, "amba-a", "amba", "127.0.0.1", 80, port};
}

std::vector<PeerMessage> CreateSampleMessages() {
  const control::Identity sender = MakeIdentity("amba-a-1", 81);
  const control::Heartbeat heartbeat = {7, 3, {{"reservas", 0.5}}};
  const std::vector<control::MemberUpdate> updates = {
      {MakeIdentity("amba-a-2", 82), control::MemberState::kSuspect, 4},
      {MakeIdentity("amba-a-3", 83), control::MemberState::kDead, 0}};
  return {
      {sender, control::Ping{1, "amba-a-2", true, heartbeat, updates}},
      {sender, control::Ack{UINT64_MAX, heartbeat, {}}},
      {sender, control::PingRequest{2, MakeIdentity("amba-a-4", 84), updates}},
      {sender,
       control::PushEntries{5, {"{\"a\": 1}", std::string("\0\xff", 2)}}},
      {sender, control::PullEntries{5}},
      {sender, control::MemberList{updates}},
      {sender, control::PullSnapshot{9, std::string("\xfe\0", 2)}},
      {sender,
       control::SnapshotPart{9, "a", "\xff", true, std::string("\xfe\0", 2)}},
      {sender, control::AppliedReport{heartbeat}},
      {sender,
       control::ZoneStatusReport{{{"amba-a",
                                   9,
                                   2,
                                   1,
                                   {{"amba-a-2", -1, absl::FromUnixMillis(12)}},
                                   absl::FromUnixMillis(123),
                                   absl::FromUnixMillis(124)}}}},
      {sender, control::QuarantineUpdate{UINT64_MAX, absl::FromUnixMillis(5)}},
      {sender, control::AllotmentUpdate{"allotment/amba-a", 4, "{}"}}};
}

std::string EncodeAsJsonRpc(const PeerMessage& message) {
  const PeerCall call = EncodePeerMessage(message);
  std::string encoded_message;
  JsonRpcClient::Notify(call.method, call.params, [&](const std::string& sent) {
    encoded_message = sent;
    return true;
  });
  return encoded_message;
}

// Collects received messages and waits until a given number has arrived.
struct ReceivedMessages {
  void Add(PeerMessage message) {
    std::lock_guard<std::mutex> lock(mutex);
    messages.push_back(std::move(message));
    message_added.notify_all();
  }
  bool WaitFor(size_t count) {
    std::unique_lock<std::mutex> lock(mutex);
    return message_added.wait_for(lock, std::chrono::seconds(30),
                                  [&] { return messages.size() >= count; });
  }
  std::mutex mutex;
  std::condition_variable message_added;
  std::vector<PeerMessage> messages;
};

// Guards against a payload type whose encoding omits a field.
TEST_CASE("each received peer message equals the sent message") {
  const std::vector<PeerMessage> sample_messages = CreateSampleMessages();
  REQUIRE(sample_messages.size() == std::variant_size_v<control::PeerPayload>);
  const int port = test::FreePort();
  ReceivedMessages received_messages;
  PeerLink receiver(
      MakeIdentity("amba-a-9", port), "token",
      [&](PeerMessage message) { received_messages.Add(std::move(message)); });
  const auto server =
      HttpServer::Builder()
          .Address("127.0.0.1", port)
          .IdleTimeout(absl::Milliseconds(100))
          .Handle(kPeerPath, [&](auto* exchange) { receiver.Handle(exchange); })
          .Start();
  REQUIRE(server != nullptr);
  PeerLink sender(sample_messages[0].sender, "token",
                  [](const PeerMessage&) {});
  for (const PeerMessage& message : sample_messages) {
    sender.Send({MakeIdentity("amba-a-9", port), message.payload});
  }
  REQUIRE(received_messages.WaitFor(sample_messages.size()));
  for (size_t i = 0; i < sample_messages.size(); ++i) {
    CHECK(EncodePeerMessage(received_messages.messages[i]).params ==
          EncodePeerMessage(sample_messages[i]).params);
    CHECK(received_messages.messages[i].payload.index() ==
          sample_messages[i].payload.index());
  }
  CHECK(sender.counters().bytes_sent > 0);
  CHECK(receiver.counters().bytes_received > 0);
  CHECK(receiver.counters().refused == 0);

  // Guards against accepting messages from a process without the token.
  PeerLink unauthorized_sender(sample_messages[0].sender, "tokem",
                               [](const PeerMessage&) {});
  unauthorized_sender.Send(
      {MakeIdentity("amba-a-9", port), sample_messages[0].payload});
  while (unauthorized_sender.counters().dropped == 0) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(receiver.counters().refused == 1);
  CHECK(received_messages.messages.size() == sample_messages.size());
}

// Guards against unbounded memory growth while a peer does not answer.
TEST_CASE("messages to an unreachable peer are dropped") {
  PeerLink sender(MakeIdentity("amba-a-1", 1), "token",
                  [](const PeerMessage&) {});
  const control::Identity unreachable_peer =
      MakeIdentity("amba-a-2", test::FreePort());
  constexpr int message_count = 1000;
  for (int i = 0; i < message_count; ++i) {
    sender.Send({unreachable_peer, control::PullEntries{1}});
  }
  while (sender.counters().dropped < message_count) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(sender.counters().messages_sent == 0);
}

TEST_CASE("token comparison detects a difference in any byte or in length") {
  CHECK(Token("token").IsEqual("token"));
  CHECK_FALSE(Token("token").IsEqual("tokem"));
  CHECK_FALSE(Token("token").IsEqual("toke"));
  CHECK_FALSE(Token("").IsEqual("token"));
  CHECK_FALSE(Token("token").IsEqual(""));
}

// Guards against crashes on corrupted or hostile messages.
TEST_CASE("a corrupted peer message is rejected or decoded completely") {
  int decoded_count = 0;
  JsonRpcServer server(
      PeerMethods(), [&](const std::string& method, const std::string& params) {
        base::Findings findings;
        const auto message = DecodePeerMessage(method, params, &findings);
        RC_ASSERT(message.has_value() == findings.empty());
        decoded_count += message.has_value() ? 1 : 0;
      });
  std::vector<std::string> encoded_messages;
  for (const PeerMessage& message : CreateSampleMessages()) {
    encoded_messages.push_back(EncodeAsJsonRpc(message));
  }
  rc::prop("corrupted peer messages", [&] {
    server.Handle(test::Mutate(*rc::gen::elementOf(encoded_messages)));
  });
  CHECK(decoded_count > 0);
  const std::string deeply_nested_json(100'000, '[');
  CHECK_FALSE(server.Handle(deeply_nested_json).empty());
  CHECK_FALSE(server
                  .Handle(R"({"jsonrpc":"2.0","method":"ping","params":)" +
                          deeply_nested_json)
                  .empty());
  CHECK_FALSE(
      server.Handle(R"({"jsonrpc":"2.0","method":"x","id":1})").empty());
}

}  // namespace
}  // namespace baobabwall::transport
