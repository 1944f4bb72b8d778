#include "transport/src/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

namespace baobabwall::transport {
namespace internal {

// The buckets range from half the latency of a request within a zone to the
// longest usual deadline of a request.
const prometheus::Histogram::BucketBoundaries& LatencyBucketBoundsSeconds() {
  static const auto* bounds = new prometheus::Histogram::BucketBoundaries{
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
      0.2,    0.5,   1,     2,     5,    10,   30};
  return *bounds;
}

const char* ToStatusLabel(control::StoreStatus status) {
  switch (status) {
    case control::StoreStatus::kOk:
      return "ok";
    case control::StoreStatus::kConflict:
      return "conflict";
    case control::StoreStatus::kNotFound:
      return "not-found";
    case control::StoreStatus::kHistoryGone:
      return "history-gone";
    case control::StoreStatus::kRefused:
      return "refused";
    case control::StoreStatus::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace internal

struct Metrics::Families {
  struct CallbackMetric {
    std::string name;
    std::string help;
    std::map<std::string, std::string> labels;
    bool is_total;
    std::function<double()> read_value;
  };

  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("baobabwall_request_seconds")
          .Help("Time from the arrival of a request to the end of its answer")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& outcomes =
      prometheus::BuildCounter()
          .Name("baobabwall_requests_total")
          .Help("Requests that ended, by outcome")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& retries =
      prometheus::BuildCounter()
          .Name("baobabwall_retries_total")
          .Help("Attempts after the first one of a request")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
      prometheus::BuildCounter()
          .Name("baobabwall_refusals_total")
          .Help("Requests that were answered by the instance, by reason")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& store_calls =
      prometheus::BuildCounter()
          .Name("baobabwall_store_calls_total")
          .Help("Calls to the store that ended, by kind and status")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& drains =
      prometheus::BuildHistogram()
          .Name("baobabwall_drain_seconds")
          .Help("Time from the first sign of leaving to the last request")
          .Register(registry);
  std::map<std::pair<std::string, std::string>, prometheus::Histogram*>
      latency_histograms;
  std::map<std::tuple<std::string, std::string, base::Outcome>,
           prometheus::Counter*>
      outcome_counters;
  std::vector<CallbackMetric> callback_metrics;
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::RequestEnded(const std::string& tenant,
                           const std::string& service_class,
                           base::Outcome outcome,
                           absl::Duration latency) {
  std::lock_guard<std::mutex> lock(mutex_);
  prometheus::Histogram*& histogram =
      families_->latency_histograms[{tenant, service_class}];
  if (histogram == nullptr) {
    histogram =
        &families_->latency.Add({{"tenant", tenant}, {"class", service_class}},
                                internal::LatencyBucketBoundsSeconds());
  }
  histogram->Observe(absl::ToDoubleSeconds(latency));
  prometheus::Counter*& counter =
      families_->outcome_counters[{tenant, service_class, outcome}];
  if (counter == nullptr) {
    counter = &families_->outcomes.Add(
        {{"tenant", tenant},
         {"class", service_class},
         {"outcome", std::string(base::ToString(outcome))}});
  }
  counter->Increment();
}

void Metrics::Retried(const std::string& service) {
  families_->retries.Add({{"service", service}}).Increment();
}

void Metrics::Refused(const std::string& service, const std::string& reason) {
  families_->refusals.Add({{"service", service}, {"reason", reason}})
      .Increment();
}

void Metrics::StoreCallEnded(absl::string_view kind,
                             control::StoreStatus status) {
  families_->store_calls
      .Add({{"kind", std::string(kind)},
            {"status", internal::ToStatusLabel(status)}})
      .Increment();
}

void Metrics::DrainEnded(const std::string& drained_kind, absl::Duration time) {
  families_->drains
      .Add({{"what", drained_kind}}, internal::LatencyBucketBoundsSeconds())
      .Observe(absl::ToDoubleSeconds(time));
}

void Metrics::AddReader(const std::string& name,
                        const std::string& help,
                        const std::map<std::string, std::string>& labels,
                        bool is_total,
                        std::function<double()> read_value) {
  std::lock_guard<std::mutex> lock(mutex_);
  families_->callback_metrics.push_back(
      {name, help, labels, is_total, std::move(read_value)});
}

std::string Metrics::Serialize() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<prometheus::MetricFamily> families =
      families_->registry.Collect();
  std::map<std::string, prometheus::MetricFamily> callback_families;
  for (const Families::CallbackMetric& callback_metric :
       families_->callback_metrics) {
    prometheus::MetricFamily& family = callback_families[callback_metric.name];
    family.name = callback_metric.name;
    family.help = callback_metric.help;
    family.type = callback_metric.is_total ? prometheus::MetricType::Counter
                                           : prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    for (const auto& [name, value] : callback_metric.labels) {
      metric.label.push_back({name, value});
    }
    (callback_metric.is_total ? metric.counter.value : metric.gauge.value) =
        callback_metric.read_value();
    family.metric.push_back(std::move(metric));
  }
  for (auto& [name, family] : callback_families) {
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace baobabwall::transport
