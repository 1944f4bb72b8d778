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

/// \brief Metrics of a process, in the text format of Prometheus.
/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// \brief Counts the end of a caller's request.
  /// \param service_class such as "interactive".
  /// \param latency from the arrival of the head to the end of the answer.
  void RequestEnded(const std::string& tenant,
                    const std::string& service_class,
                    base::Outcome outcome,
                    absl::Duration latency);
  void Retried(const std::string& service);
  /// \brief Counts a request that got an answer of this instance.
  /// \param reason such as "full".
  void Refused(const std::string& service, const std::string& reason);
  void StoreCallEnded(absl::string_view kind, control::StoreStatus status);
  /// \param what "backend_server" or "instance".
  void DrainEnded(const std::string& what, absl::Duration time);

  /// \brief Adds a gauge or counter whose value is read at each scrape.
  /// \param is_total true if the value never falls.
  void AddReader(const std::string& name,
                 const std::string& help,
                 const std::map<std::string, std::string>& labels,
                 bool is_total,
                 std::function<double()> read);

  /// \returns the exposition.
  std::string Serialize();

 private:
  struct Families;

  std::mutex mutex_;
  std::unique_ptr<Families> families_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_METRICS_H_
