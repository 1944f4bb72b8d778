#ifndef TRANSPORT_SRC_WORK_QUEUE_H_
#define TRANSPORT_SRC_WORK_QUEUE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace baobabwall::transport {

/// \brief Thread pool of fixed size with a bounded task queue.
class WorkQueue {
 public:
  using Task = std::function<void()>;

  /// \param threads number of threads.
  /// \param capacity maximum number of queued tasks.
  WorkQueue(int threads, size_t capacity);

  /// \brief Drops the queued tasks and waits for the running tasks.
  ~WorkQueue();

  /// \brief Queues a task.
  /// \returns false if the queue is full or closed; the task is then dropped.
  bool Add(Task task);

  /// \brief Drops the queued tasks and rejects new tasks. Running tasks
  /// continue.
  void Close();

 private:
  void RunTasks();

  const size_t capacity_;
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::deque<Task> pending_tasks_;
  bool is_closed_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_WORK_QUEUE_H_
