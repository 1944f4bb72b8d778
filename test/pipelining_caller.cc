#include "pipelining_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace baobabwall::test {
namespace {

/// Time between two requests. Shorter than the work of most servers, so that
/// several requests are pending.
constexpr absl::Duration kSendInterval = absl::Milliseconds(8);
/// Time for which the caller goes on sending after the closing answer.
constexpr absl::Duration kSendTimeAfterClose = absl::Milliseconds(100);
/// Time after which a connection without an answer is given up.
constexpr absl::Duration kMaxSilence = absl::Seconds(4);
constexpr size_t kMaxPending = 8;

/// \returns the value of a header; empty if the head does not have it.
std::string HeaderValue(const std::string& head, const std::string& name) {
  const std::string start = absl::StrCat("\r\n", name, ": ");
  const size_t found = head.find(start);
  if (found == std::string::npos) {
    return "";
  }
  const size_t begin = found + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

/// One connection from its first request to its end.
class PipeliningCaller::Connection {
 public:
  explicit Connection(PipeliningCaller* caller) : caller_(caller) {}
  ~Connection() { close(socket_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Run() {
    if (!Connect()) {
      return;
    }
    last_answer_at_ = absl::Now();
    while (!IsOver(absl::Now()) && SendIfDue(absl::Now()) && Receive()) {
    }
  }

 private:
  bool Connect() {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(caller_->port_));
    return connect(socket_, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  bool IsOver(absl::Time now) const {
    return caller_->is_stopping_ || now - closed_at_ > kSendTimeAfterClose ||
           now - last_answer_at_ > kMaxSilence;
  }

  /// \returns false if the connection has ended.
  bool SendIfDue(absl::Time now) {
    if (now < next_send_at_ || pending_ids_.size() >= kMaxPending) {
      return true;
    }
    next_send_at_ = now + kSendInterval;
    const std::string id =
        absl::StrCat(caller_->name_, "-", ++caller_->last_id_);
    const std::string request =
        absl::StrCat("GET /read/kept HTTP/1.1\r\nHost: h.example\r\n",
                     "X-Request-Id: ", id, "\r\nX-Deadline-Ms: 1500\r\n\r\n");
    pending_ids_.push_back(id);
    if (closed_at_ != absl::InfiniteFuture()) {
      caller_->ids_behind_close_.push_back(id);
    }
    return send(socket_, request.data(), request.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(request.size());
  }

  /// Waits briefly for answers.
  /// \returns false if the connection has ended.
  bool Receive() {
    pollfd entry = {socket_, POLLIN, 0};
    if (poll(&entry, 1, 2) == 0) {
      return true;
    }
    char buffer[8192];
    const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return false;
    }
    received_.append(buffer, size);
    while (TakeAnswer()) {
    }
    return true;
  }

  /// \returns whether a complete answer was taken from the received bytes.
  bool TakeAnswer() {
    const size_t head_end = received_.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return false;
    }
    const std::string head = received_.substr(0, head_end + 2);
    size_t body_size = 0;
    const std::string length = HeaderValue(head, "Content-Length");
    if (!length.empty() && !absl::SimpleAtoi(length, &body_size)) {
      return false;
    }
    const size_t answer_size = head_end + 4 + body_size;
    if (received_.size() < answer_size) {
      return false;
    }
    received_.erase(0, answer_size);
    OnAnswer(head);
    return true;
  }

  void OnAnswer(const std::string& head) {
    last_answer_at_ = absl::Now();
    ++caller_->answers_;
    const std::string id = HeaderValue(head, "X-Request-Id");
    if (pending_ids_.empty() || pending_ids_.front() != id) {
      ++caller_->misplaced_answers_;
      return;
    }
    pending_ids_.pop_front();
    if (absl::EqualsIgnoreCase(HeaderValue(head, "Connection"), "close")) {
      closed_at_ = last_answer_at_;
      caller_->ids_behind_close_.insert(caller_->ids_behind_close_.end(),
                                        pending_ids_.begin(),
                                        pending_ids_.end());
    }
  }

  PipeliningCaller* caller_;
  int socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string received_;
  std::deque<std::string> pending_ids_;
  absl::Time next_send_at_ = absl::InfinitePast();
  absl::Time last_answer_at_ = absl::InfinitePast();
  absl::Time closed_at_ = absl::InfiniteFuture();  ///< Of the closing answer.
};

PipeliningCaller::PipeliningCaller(int port, std::string name)
    : port_(port), name_(std::move(name)), thread_([this] { Run(); }) {}

PipeliningCaller::~PipeliningCaller() {
  Stop();
}

void PipeliningCaller::Stop() {
  is_stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PipeliningCaller::Run() {
  while (!is_stopping_) {
    Connection(this).Run();
    absl::SleepFor(absl::Milliseconds(20));
  }
}

}  // namespace baobabwall::test
