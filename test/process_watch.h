#ifndef TEST_PROCESS_WATCH_H_
#define TEST_PROCESS_WATCH_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <thread>

namespace baobabwall::test {

/// \brief Memory and open descriptors of a process at one moment.
struct ProcessUse {
  int64_t resident_bytes = 0;  ///< VmRSS.
  /// Unread and unacknowledged bytes in the socket buffers of the process,
  /// including connections that are not accepted yet. The kernel needs more
  /// memory than this for the same bytes.
  int64_t socket_bytes = 0;
  int descriptors = 0;

  int64_t memory_bytes() const { return resident_bytes + socket_bytes; }
};

/// \returns the use of a running process; zeros if it has ended.
/// \param port port on which the process accepts the connections to be counted.
ProcessUse ReadProcessUse(pid_t pid, int port);

/// \returns the highest resident size (VmHWM) since the start of a process; 0
/// if it has ended.
int64_t ReadPeakResidentBytes(pid_t pid);

/// \brief Samples the use of a process on a separate thread.
class ProcessWatch {
 public:
  ProcessWatch(pid_t pid, int port);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  /// \returns the highest sampled sum of resident and socket memory, or VmHWM
  /// if that is higher.
  int64_t peak_memory_bytes() const;
  int64_t peak_socket_bytes() const { return peak_socket_bytes_; }
  int peak_descriptors() const { return peak_descriptors_; }

 private:
  void Run();

  pid_t pid_;
  int port_;
  std::atomic<int64_t> peak_memory_bytes_{0};
  std::atomic<int64_t> peak_socket_bytes_{0};
  std::atomic<int> peak_descriptors_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_PROCESS_WATCH_H_
