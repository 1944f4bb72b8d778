#include "transport/src/prober.h"

#include <utility>

#include "glog/logging.h"
#include "nlohmann/json.hpp"
#include "transport/src/json_reader.h"

namespace baobabwall::transport {
namespace internal {

// A zone has up to 200 backend servers. A probe takes about 8 ms and at most
// 1 s.
constexpr int kProbeThreads = 8;
constexpr size_t kMaxQueuedProbes = 1024;
constexpr size_t kMaxIdleConnectionsPerServer = 1;
constexpr absl::Duration kProbeTimeout = absl::Seconds(1);
// If the load report in an answer is older than 24 h, the answer counts as
// malformed. A load report is already of no use after 1 min.
constexpr int64_t kMaxReportAgeMs = 24LL * 3600 * 1000;

}  // namespace internal

bool DecodeHealth(absl::string_view text,
                  control::ProbeEnded* result,
                  base::Findings* findings) {
  base::Findings new_findings;
  const nlohmann::json value =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (!value.is_object()) {
    findings->Add("health", "is not a JSON object");
    return false;
  }
  JsonReader reader(value, "health", &new_findings);
  if (!reader.HasField("ready")) {
    new_findings.Add("health.ready", "is missing");
  }
  const bool is_ready = reader.ReadBool("ready", false);
  const bool is_leaving = reader.ReadBool("leaving", false);
  const double load = reader.HasField("load") ? reader.ReadNumber("load") : 0;
  if (!(load >= 0 && load <= 1)) {
    reader.AddInvalidField("load", "a number from 0 to 1");
  }
  const int64_t age_ms =
      reader.HasField("ageMs")
          ? reader.ReadInteger("ageMs", 0, internal::kMaxReportAgeMs)
          : 0;
  findings->Append(new_findings);
  if (!new_findings.empty()) {
    return false;
  }
  result->is_answered = true;
  result->is_ready = is_ready;
  result->is_leaving = is_leaving;
  result->reported_load = load;
  result->report_age = absl::Milliseconds(age_ms);
  return true;
}

Prober::Prober(OnEnd on_end)
    : on_end_(std::move(on_end)),
      connection_pool_(internal::kMaxIdleConnectionsPerServer),
      probe_threads_(internal::kProbeThreads, internal::kMaxQueuedProbes) {}

Prober::~Prober() {
  probe_threads_.Close();
  connection_watch_.AbortAll();
}

void Prober::Probe(const control::ProbeBackendServer& action) {
  if (!probe_threads_.Add([this, action] { RunProbe(action); })) {
    control::ProbeEnded result;
    result.backend_server = action.name;
    on_end_(std::move(result));
  }
}

void Prober::RunProbe(const control::ProbeBackendServer& action) {
  control::ProbeEnded result;
  result.backend_server = action.name;
  HttpAnswer answer;
  if (Fetch(&connection_pool_, action.address, action.port, "GET", "/healthz",
            {}, "", internal::kProbeTimeout, &answer, &connection_watch_)) {
    base::Findings findings;
    if (!DecodeHealth(answer.body, &result, &findings)) {
      LOG_EVERY_N(WARNING, 100)
          << "steer: malformed health server=" << action.name
          << " findings=" << findings.ToString();
    }
  }
  on_end_(std::move(result));
}

}  // namespace baobabwall::transport
