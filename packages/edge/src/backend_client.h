#ifndef EDGE_SRC_BACKEND_CLIENT_H_
#define EDGE_SRC_BACKEND_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "edge/src/dialect.h"
#include "edge/src/http_message.h"
#include "edge/src/memory_budget.h"

namespace baobabwall::edge {

/// \brief HTTP client for backend servers on one event loop.
///
/// Idle connections are kept for each backend server. An answer is accepted
/// only if it has the id of its request; other answers are dropped. A
/// connection on which unexpected data arrived, or on which the same request
/// was refused before, is not reused.
class BackendClient {
 public:
  /// Fraction of the server's keep-alive time for which an idle connection may
  /// be reused.
  static constexpr double kKeepAliveFraction = 0.6;
  /// Keep-alive time of servers that do not send a Keep-Alive header.
  static constexpr absl::Duration kDefaultKeepAliveTime = absl::Seconds(5);
  /// Requests that must not run twice use only connections that were idle for
  /// less than this time, because the server may close an idle connection at
  /// any moment.
  static constexpr absl::Duration kMaxIdleTimeNonIdempotent = absl::Seconds(4);
  /// Maximum size of the header of an answer, and of the data that is received
  /// but not parsed, for example of an extension of a chunk.
  static constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
  static constexpr uint64_t kMaxAnswerBytes = 48 * 1024 * 1024;
  /// Maximum size of all answers that are being received. A server in trouble
  /// may send data without end, and several servers at once must not use up the
  /// memory of the instance. Beyond it, the largest answer is given up.
  static constexpr uint64_t kMaxBufferedBytes = 48 * 1024 * 1024;
  /// With a memory budget, answers that are being received may use this part of
  /// it: twice the part that is reserved for answers.
  static constexpr uint64_t kBudgetDivisor = 4;
  /// Maximum number of interim answers and of answers to other requests before
  /// the answer to a request.
  static constexpr int kMaxSkippedAnswers = 16;
  /// A connection with this number of refusals is closed.
  static constexpr size_t kMaxRefusalsPerConnection = 64;

  /// \param end result of the attempt.
  /// \param answer the complete answer, if the server sent a valid answer.
  using DoneCallback = std::function<void(gateway::AttemptEnd end,
                                          std::optional<HttpResponse> answer)>;

  BackendClient(asio::io_context* io,
                const Dialect* dialect,
                DoneCallback on_done);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// \param budget must outlive the client and its event loop.
  void SetBudget(MemoryBudget* budget) { budget_ = budget; }

  /// \param request the caller's request, unchanged.
  /// \param request_id request id that the answer must have; empty to accept
  /// any id.
  void Start(const gateway::StartAttempt& start,
             std::shared_ptr<const HttpRequest> request,
             std::string request_id);

  /// \brief Closes the connection of an attempt without calling the
  /// DoneCallback.
  void Abort(gateway::AttemptId attempt);

  /// \brief Closes the idle connections to servers that are not in `backends`.
  void RetainServers(const gateway::BackendSet& backends);

  /// \brief Closes idle connections that exceed their maximum idle time.
  void OnTick(absl::Time now);

  /// \returns the size of the answers that are being received.
  uint64_t buffered_bytes() const { return buffered_bytes_; }
  size_t attempt_count() const { return attempts_.size(); }
  size_t idle_connection_count() const;
  uint64_t opened_connection_count() const { return opened_connections_; }

 private:
  class Attempt;
  struct Connection;

  /// \returns an idle connection on which this request was not refused before;
  /// nullptr if there is none.
  std::shared_ptr<Connection> TakeIdleConnection(
      const gateway::StartAttempt& start,
      absl::string_view request_id);
  void KeepIdleConnection(const std::string& server,
                          std::shared_ptr<Connection> connection);

  /// \brief Gives up the largest answers until the limit is met.
  void EnforceBufferLimit();

  asio::io_context* io_;
  const Dialect* dialect_;
  DoneCallback on_done_;
  MemoryBudget* budget_ = nullptr;
  absl::flat_hash_map<gateway::AttemptId, std::shared_ptr<Attempt>> attempts_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>>
      idle_connections_;
  uint64_t opened_connections_ = 0;
  uint64_t buffered_bytes_ = 0;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_BACKEND_CLIENT_H_
