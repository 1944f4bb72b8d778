#include "caller_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace baobabwall::test {
namespace {

/// Bytes that a client sends before the next client has its turn.
constexpr size_t kPieceBytes = 16 * 1024;
/// Receive buffer of clients that do not read, so that the bytes stay at the
/// sender.
constexpr int kUnreadBufferBytes = 4096;
/// Bytes of an answer that are kept; they contain the status.
constexpr size_t kStatusLineBytes = 16;
/// Maximum waiting time of one poll.
constexpr int kPollMs = 20;
/// A forgotten crowd ends after this time.
constexpr absl::Duration kMaxLifetime = absl::Minutes(3);

}  // namespace

/// One client and its connection.
class CallerCrowd::Client {
 public:
  explicit Client(CrowdClient plan) : plan_(std::move(plan)) {}
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Connect(int port) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (!plan_.reads_answers) {
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kUnreadBufferBytes,
                 sizeof(kUnreadBufferBytes));
    }
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    if (connect(socket_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      Close();
    }
  }

  bool is_open() const { return socket_ >= 0; }
  const std::string& id() const { return plan_.id; }

  pollfd PollEntry() const {
    short events = 0;
    if (!is_connected_ || HasMoreToSend()) {
      events |= POLLOUT;
    }
    if (plan_.reads_answers && !is_input_closed_) {
      events |= POLLIN;
    }
    return {socket_, events, 0};
  }

  /// \returns the progress: one for the connection, and the bytes that were
  /// sent and received.
  int64_t OnPoll(short events) {
    int64_t progress = 0;
    if ((events & POLLOUT) != 0 && !is_connected_) {
      is_connected_ = true;
      ++progress;
    }
    if ((events & POLLIN) != 0) {
      progress += Receive();
    }
    if ((events & POLLOUT) != 0 && is_open()) {
      progress += SendPiece();
    }
    const bool is_failed = (events & (POLLERR | POLLNVAL)) != 0;
    const bool is_over =
        (is_input_closed_ || (events & POLLHUP) != 0) && !HasMoreToSend();
    if (is_failed || is_over) {
      Close();
    }
    return progress;
  }

  void Close() {
    if (is_open()) {
      close(std::exchange(socket_, -1));
    }
  }

  void Reset() {
    const linger immediately = {1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &immediately,
               sizeof(immediately));
    Close();
  }

  CrowdOutcome outcome() const {
    CrowdOutcome outcome;
    outcome.id = plan_.id;
    // Example: "HTTP/1.1 200 OK".
    if (answer_start_.size() >= 12 &&
        !absl::SimpleAtoi(answer_start_.substr(9, 3), &outcome.status)) {
      outcome.status = 0;
    }
    return outcome;
  }

 private:
  size_t size() const {
    return plan_.head.size() + (plan_.body ? plan_.body->size() : 0);
  }
  bool HasMoreToSend() const { return sent_ < size(); }

  int64_t SendPiece() {
    if (!HasMoreToSend()) {
      return 0;
    }
    absl::string_view rest;
    if (sent_ < plan_.head.size()) {
      rest = absl::string_view(plan_.head).substr(sent_);
    } else {
      rest = absl::string_view(*plan_.body).substr(sent_ - plan_.head.size());
    }
    const absl::string_view piece = rest.substr(0, kPieceBytes);
    const ssize_t size =
        send(socket_, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (size < 0) {
      if (errno != EAGAIN) {
        // Without more to send, the client reads the answer up to its end.
        sent_ = this->size();
      }
      return 0;
    }
    sent_ += size;
    return size;
  }

  int64_t Receive() {
    char buffer[16 * 1024];
    const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
    if (size < 0) {
      if (errno != EAGAIN) {
        Close();
      }
      return 0;
    }
    is_input_closed_ = size == 0;
    if (answer_start_.size() < kStatusLineBytes) {
      answer_start_.append(buffer, std::min<size_t>(size, kStatusLineBytes));
    }
    return size;
  }

  CrowdClient plan_;
  int socket_ = -1;
  bool is_connected_ = false;
  bool is_input_closed_ = false;
  size_t sent_ = 0;
  std::string answer_start_;
};

CallerCrowd::CallerCrowd(int port, const std::vector<CrowdClient>& clients) {
  for (const CrowdClient& plan : clients) {
    clients_.push_back(std::make_unique<Client>(plan));
    clients_.back()->Connect(port);
  }
  thread_ = std::thread([this] { Run(); });
}

CallerCrowd::~CallerCrowd() {
  Stop();
}

void CallerCrowd::Stop() {
  is_stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  for (const auto& client : clients_) {
    client->Close();
  }
}

std::vector<CrowdOutcome> CallerCrowd::outcomes() const {
  std::vector<CrowdOutcome> outcomes;
  for (const auto& client : clients_) {
    outcomes.push_back(client->outcome());
  }
  return outcomes;
}

void CallerCrowd::LeaveInPart() {
  for (size_t i = 0; i < clients_.size(); i += 2) {
    if (!clients_[i]->is_open()) {
      continue;
    }
    if (i % 4 == 0) {
      clients_[i]->Reset();
    } else {
      clients_[i]->Close();
    }
  }
}

void CallerCrowd::Run() {
  const absl::Time end = absl::Now() + kMaxLifetime;
  std::vector<pollfd> entries;
  std::vector<Client*> polled;
  while (!is_stopping_ && absl::Now() < end) {
    if (is_half_leaving_.exchange(false)) {
      LeaveInPart();
    }
    entries.clear();
    polled.clear();
    for (const auto& client : clients_) {
      if (client->is_open()) {
        entries.push_back(client->PollEntry());
        polled.push_back(client.get());
      }
    }
    poll(entries.data(), entries.size(), kPollMs);
    for (size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].revents != 0) {
        progress_ += polled[i]->OnPoll(entries[i].revents);
      }
    }
  }
}

}  // namespace baobabwall::test
