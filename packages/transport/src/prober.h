#ifndef TRANSPORT_SRC_PROBER_H_
#define TRANSPORT_SRC_PROBER_H_

#include <functional>

#include "control/control.h"
#include "transport/src/connection_watch.h"
#include "transport/src/http_client.h"
#include "transport/src/work_queue.h"

namespace baobabwall::transport {

/// \brief Decodes the answer of a health endpoint into a probe result.
/// \param result changed only if the answer is valid.
/// \param findings receives every decoding error with the path of its field.
/// \returns false if the answer is malformed.
bool DecodeHealth(absl::string_view text,
                  control::ProbeEnded* result,
                  base::Findings* findings);

/// \brief Probes the health of backend servers with GET /healthz and a timeout
/// of 1 s.
class Prober {
 public:
  using OnEnd = std::function<void(control::ProbeEnded)>;

  /// \param on_end called once for each completed probe, on any thread.
  explicit Prober(OnEnd on_end);
  ~Prober();

  /// \brief Starts a probe and returns at once.
  void Probe(const control::ProbeBackendServer& action);

 private:
  void RunProbe(const control::ProbeBackendServer& action);

  const OnEnd on_end_;
  ConnectionPool connection_pool_;
  ConnectionWatch connection_watch_;
  WorkQueue probe_threads_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_PROBER_H_
