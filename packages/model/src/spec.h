#ifndef MODEL_SRC_SPEC_H_
#define MODEL_SRC_SPEC_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "model/src/resource.h"

/// \brief Typed specs of the resources that operators declare.
namespace baobabwall::model {

/// \brief Latency requirement of a service, which determines the priority of
/// its requests in queues and on links.
enum class ServiceClass {
  kInteractive,    ///< Small responses for which a user waits.
  kTransactional,  ///< Bookings, orders and payments.
  kBulk,           ///< Large downloads.
};

/// \brief Criterion by which placement selects another zone when the home zone
/// has no free capacity.
enum class PlacementPolicy { kLatency, kHeadroom };

struct Service {
  std::string name;
  std::string tenant;
  ServiceClass service_class = ServiceClass::kInteractive;
  PlacementPolicy policy = PlacementPolicy::kLatency;
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
  /// Default and maximum deadline of a request.
  absl::Duration deadline = absl::Seconds(2);
  /// Retry budget as a percentage of the first attempts.
  int retry_budget_percent = 10;
  absl::Duration lookup_ttl = absl::Seconds(10);
  int64_t max_answer_bytes = int64_t{1} << 30;
};

struct Region {
  std::string name;
  double declared_rate = 0;  ///< Requests/s that the region's callers send.
};

struct Zone {
  std::string name;
  std::string region;
};

struct BackendServer {
  std::string name;
  std::string service;
  std::string zone;
  std::string address;  ///< IP address.
  int port = 0;
  int slots = 1;          ///< Maximum number of concurrent requests.
  int connections = 330;  ///< Maximum number of connections.
};

/// \brief Network capacity between two regions, in each direction.
struct Link {
  std::string name;
  std::string a;  ///< Name of one region.
  std::string b;  ///< Name of the other region.
  int64_t mbit_per_s = 0;
};

/// \brief Maximum traffic that may be served outside its home region.
struct Cap {
  std::string name;
  std::string region;  ///< Home region of the traffic.
  /// Maximum traffic per window, as a percentage of the number of requests that
  /// the region's declared rate yields in one window.
  int max_moved_percent = 0;
  absl::Duration window = absl::Seconds(60);
};

enum class DrainTarget { kBackendServer, kInstance, kZone, kRegion };

/// \brief Behaviour of a drain if the remaining backend servers do not have
/// enough headroom.
enum class DrainShortage { kRefuse, kWait };

struct Drain {
  std::string name;
  DrainTarget target = DrainTarget::kBackendServer;
  std::string target_name;
  DrainShortage on_shortage = DrainShortage::kRefuse;
};

/// \brief Moves a percentage of a region's traffic for a service to another
/// region.
struct Shift {
  std::string name;
  std::string service;
  std::string from;  ///< Name of the source region.
  std::string to;    ///< Name of the target region.
  /// Percentage of the source region's traffic for the service.
  int percent = 0;
};

/// \brief A part of the table that maps client blocks to home zones.
struct ClientBlocks {
  struct Block {
    std::string prefix;  ///< IPv4 or IPv6 prefix in CIDR notation.
    std::string zone;
  };
  std::string name;
  std::vector<Block> blocks;
};

using Spec = std::variant<Service,
                          Region,
                          Zone,
                          BackendServer,
                          Link,
                          Cap,
                          Drain,
                          Shift,
                          ClientBlocks>;

}  // namespace baobabwall::model

#endif  // MODEL_SRC_SPEC_H_
