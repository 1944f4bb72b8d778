// Metrics of the traffic loop.
#include <utility>

#include "edge/src/log_writer.h"
#include "edge/src/traffic_loop.h"
#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

struct ShedCauseName {
  HttpListener::ShedCause cause;
  const char* name;
};
constexpr ShedCauseName kShedCauseNames[] = {
    {HttpListener::ShedCause::kMemory, "memory"},
    {HttpListener::ShedCause::kSlowBody, "slow-body"},
    {HttpListener::ShedCause::kSlowReader, "slow-reader"},
    {HttpListener::ShedCause::kConnections, "connections"},
};

}  // namespace internal

void TrafficLoop::LogShedRequests() {
  for (const internal::ShedCauseName& entry : internal::kShedCauseNames) {
    const uint64_t count = caller_listener_.shed_count(entry.cause);
    uint64_t& logged = logged_shed_counts_[static_cast<size_t>(entry.cause)];
    if (count > logged) {
      LOG(WARNING) << "http: clients shed cause=" << entry.name
                   << " count=" << count - logged;
      logged = count;
    }
  }
}

void TrafficLoop::AddMetrics() {
  const auto add = [&](const char* name, const char* help, bool is_counter,
                       std::function<double()> read_value) {
    metrics_->AddReader(name, help, {}, is_counter, std::move(read_value));
  };
  add("baobabwall_in_flight", "Requests whose answer is not sent", false,
      [this] { return static_cast<double>(steering_.in_flight()); });
  add("baobabwall_caller_connections", "Open connections of callers", false,
      [this] {
        return static_cast<double>(caller_listener_.connection_count());
      });
  add("baobabwall_backend_connections_idle",
      "Kept connections to backend servers", false, [this] {
        return static_cast<double>(backend_client_.idle_connection_count());
      });
  add("baobabwall_backend_connections_opened_total",
      "Connections opened to backend servers", true, [this] {
        return static_cast<double>(backend_client_.opened_connection_count());
      });
  add("baobabwall_instances", "Other instances in use", false, [this] {
    return static_cast<double>(peers_.Live(transport::SteadyNow()).size());
  });
  add("baobabwall_least_own_region_share",
      "Smallest part of a service's requests that is to run in the own region",
      false, [this] { return steering_.balancer().LeastOwnShare(); });
  metrics_->AddReader(
      kSuppressedLinesMetric, kSuppressedLinesHelp, {{"by", "requests"}}, true,
      [this] { return static_cast<double>(request_log_.suppressed_total()); });
  add("baobabwall_config_version", "Configuration in force", false, [this] {
    return steering_.config() == nullptr
               ? 0.0
               : static_cast<double>(steering_.config()->version());
  });
  add("baobabwall_backend_servers_leaving",
      "Backend servers that have announced that they leave", false, [this] {
        return static_cast<double>(steering_.balancer().leaving_server_count());
      });
  add("baobabwall_backend_servers_pausing",
      "Backend servers that asked for a pause", false, [this] {
        return static_cast<double>(
            steering_.balancer().pausing_server_count(transport::SteadyNow()));
      });
  add("baobabwall_backend_servers_limited",
      "Backend servers that have named a request limit", false, [this] {
        return static_cast<double>(
            steering_.balancer().server_limits().count());
      });
  add("baobabwall_backend_servers", "Backend servers known", false, [this] {
    return static_cast<double>(steering_.balancer().server_count());
  });
  AddClientMetrics();
}

void TrafficLoop::AddClientMetrics() {
  for (const internal::ShedCauseName& entry : internal::kShedCauseNames) {
    metrics_->AddReader(
        "baobabwall_clients_shed_total",
        "Requests and connections ended to protect the instance",
        {{"cause", entry.name}}, true, [this, cause = entry.cause] {
          return static_cast<double>(caller_listener_.shed_count(cause));
        });
  }
  const std::pair<MemoryBudget::Part, const char*> parts[] = {
      {MemoryBudget::Part::kShared, "shared"},
      {MemoryBudget::Part::kSmallRequests, "small-requests"},
      {MemoryBudget::Part::kAnswers, "answers"}};
  for (const auto& [part, name] : parts) {
    metrics_->AddReader("baobabwall_memory_reserved_bytes",
                        "Memory reserved for requests and answers",
                        {{"part", name}}, false, [this, part = part] {
                          return static_cast<double>(memory_budget_.used(part));
                        });
    metrics_->AddReader("baobabwall_memory_budget_bytes",
                        "Size of the parts of the memory budget",
                        {{"part", name}}, false, [this, part = part] {
                          return static_cast<double>(memory_budget_.size(part));
                        });
  }
  metrics_->AddReader(
      "baobabwall_connections_paused",
      "Connections whose reading waits for memory", {}, false, [this] {
        return static_cast<double>(caller_listener_.paused_connection_count());
      });
}

}  // namespace baobabwall::edge
