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

namespace baobabwall::edge {

/// \brief HTTP client for backend servers on one event loop.
///
/// Connections are kept per backend server. An answer counts only if it bears
/// the id of its request; others are dropped. A connection on which anything
/// unexpected arrived is not used again.
class BackendClient {
 public:
  /// Part of the server's keep-alive time for which a connection is used.
  static constexpr double kKeepAlivePart = 0.6;
  /// Keep-alive time of servers that tell none.
  static constexpr absl::Duration kDefaultKeepAlive = absl::Seconds(5);
  /// Requests that may not run twice use only connections that were idle for
  /// less than this: the server may close an idle one at any moment.
  static constexpr absl::Duration kFreshIdle = absl::Seconds(4);
  static constexpr uint64_t kMaxAnswerBytes = 64 * 1024 * 1024;

  /// \param end how the attempt ended.
  /// \param answer the whole answer, if one came.
  using Done = std::function<void(gateway::AttemptEnd end,
                                  std::optional<HttpResponse> answer)>;

  BackendClient(asio::io_context* io, const Dialect* dialect, Done done);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// \param request as the caller sent it.
  /// \param request_id id that the answer must bear; empty: any.
  void Start(const gateway::StartAttempt& start,
             std::shared_ptr<const HttpRequest> request,
             std::string request_id);

  /// \brief Closes the connection of an attempt; Done is not called.
  void Abort(gateway::AttemptId attempt);

  /// \brief Closes the idle connections to all other servers.
  void KeepServers(const std::set<std::string>& ids);

  /// \brief Closes connections that were idle for too long.
  void OnTick(absl::Time now);

  size_t attempt_count() const { return attempts_.size(); }
  size_t idle_count() const;
  uint64_t opened_count() const { return opened_; }

 private:
  class Attempt;
  struct Idle;

  std::shared_ptr<Idle> TakeIdle(const gateway::StartAttempt& start);
  void Keep(const std::string& server, std::shared_ptr<Idle> idle);

  asio::io_context* io_;
  const Dialect* dialect_;
  Done done_;
  absl::flat_hash_map<gateway::AttemptId, std::shared_ptr<Attempt>> attempts_;
  std::map<std::string, std::vector<std::shared_ptr<Idle>>> idle_;
  uint64_t opened_ = 0;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_BACKEND_CLIENT_H_
