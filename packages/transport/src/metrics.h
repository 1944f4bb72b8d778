#ifndef TRANSPORT_SRC_METRICS_H_
#define TRANSPORT_SRC_METRICS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "control/control.h"

namespace baobabwall::transport {

/// \brief Metrics of a process in the Prometheus text format. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// \brief Records the outcome and the latency of a completed request.
  /// \param service_class name of the service class, such as "interactive".
  /// \param latency time from the arrival of the request's head to the end of
  /// its answer.
  void RequestEnded(const std::string& tenant,
                    const std::string& service_class,
                    base::Outcome outcome,
                    absl::Duration latency);
  void Retried(const std::string& service);
  /// \brief Counts a request that this instance answered itself, without
  /// forwarding the request to a backend server.
  /// \param reason reason for which the request was not forwarded, such as
  /// "full".
  void Refused(const std::string& service, const std::string& reason);
  void StoreCallEnded(absl::string_view kind, control::StoreStatus status);
  /// \brief Records the duration of a completed drain.
  /// \param drained_kind "backend_server" or "instance".
  void DrainEnded(const std::string& drained_kind, absl::Duration time);

  /// \brief Adds a gauge or counter whose value is read at each scrape.
  /// \param is_total true for a counter, whose value never decreases; false for
  /// a gauge.
  /// \param read_value called at each scrape.
  void AddReader(const std::string& name,
                 const std::string& help,
                 const std::map<std::string, std::string>& labels,
                 bool is_total,
                 std::function<double()> read_value);

  /// \returns all metrics in the Prometheus text format.
  std::string Serialize();

 private:
  struct Families;

  std::mutex mutex_;
  std::unique_ptr<Families> families_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_METRICS_H_
