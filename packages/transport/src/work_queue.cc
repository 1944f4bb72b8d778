#include "transport/src/work_queue.h"

#include <utility>

namespace baobabwall::transport {

WorkQueue::WorkQueue(int threads, size_t capacity) : capacity_(capacity) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { RunTasks(); });
  }
}

WorkQueue::~WorkQueue() {
  Close();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

bool WorkQueue::Add(Task task) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (is_closed_ || pending_tasks_.size() >= capacity_) {
      return false;
    }
    pending_tasks_.push_back(std::move(task));
  }
  wake_condition_.notify_one();
  return true;
}

void WorkQueue::Close() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_closed_ = true;
    pending_tasks_.clear();
  }
  wake_condition_.notify_all();
}

void WorkQueue::RunTasks() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_condition_.wait(lock,
                         [&] { return is_closed_ || !pending_tasks_.empty(); });
    if (is_closed_) {
      return;
    }
    const Task task = std::move(pending_tasks_.front());
    pending_tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace baobabwall::transport
