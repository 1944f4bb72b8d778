#ifndef TEST_INSTANCE_RECORDS_H_
#define TEST_INSTANCE_RECORDS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {

/// \returns the record of an instance whose address is its name.
inline InstanceRecord Instance(absl::string_view name,
                               absl::string_view zone,
                               absl::string_view region,
                               double cpu_share = 1) {
  InstanceRecord record;
  record.name = std::string(name);
  record.zone = std::string(zone);
  record.region = std::string(region);
  record.callers = {std::string(name), 80};
  record.cpu_share = cpu_share;
  return record;
}

}  // namespace baobabwall::gateway

#endif  // TEST_INSTANCE_RECORDS_H_
