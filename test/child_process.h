#ifndef TEST_CHILD_PROCESS_H_
#define TEST_CHILD_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

namespace baobabwall::test {

/// \brief A child process that is killed when this object is destroyed.
class ChildProcess {
 public:
  /// \param log file to which standard output and standard error are appended.
  ChildProcess(std::vector<std::string> arguments, const std::string& log)
      : ChildProcess(std::move(arguments), log, -1) {}

  /// \param standard_output descriptor that becomes the standard output of the
  /// process; -1 to use the log file.
  /// \param descriptor_limit soft RLIMIT_NOFILE of the process; 0 to inherit
  /// the limit of the test.
  ChildProcess(std::vector<std::string> arguments,
               const std::string& log,
               int standard_output,
               int descriptor_limit = 0) {
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (int descriptor : {STDOUT_FILENO, STDERR_FILENO}) {
      posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    if (standard_output >= 0) {
      posix_spawn_file_actions_adddup2(&actions, standard_output,
                                       STDOUT_FILENO);
    }
    // The process inherits the limit, so the test has it during the call, too.
    rlimit own_limit = {};
    getrlimit(RLIMIT_NOFILE, &own_limit);
    if (descriptor_limit > 0) {
      rlimit limit = own_limit;
      limit.rlim_cur = descriptor_limit;
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
        0) {
      pid_ = 0;
    }
    setrlimit(RLIMIT_NOFILE, &own_limit);
    posix_spawn_file_actions_destroy(&actions);
  }
  ~ChildProcess() {
    Signal(SIGKILL);
    Wait();
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }

  pid_t pid() const { return pid_; }

  /// \returns whether the process runs; its exit status stays available for
  /// Wait().
  bool IsRunning() const {
    siginfo_t info = {};
    return pid_ > 0 &&
           waitid(P_PID, pid_, &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == 0;
  }

  /// \returns the exit status, or -1 if a signal terminated the process.
  int Wait() {
    int status = -1;
    if (pid_ > 0 && waitpid(std::exchange(pid_, 0), &status, 0) > 0) {
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    return -1;
  }

 private:
  pid_t pid_ = 0;
};

}  // namespace baobabwall::test

#endif  // TEST_CHILD_PROCESS_H_
