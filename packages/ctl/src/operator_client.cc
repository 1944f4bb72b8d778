#include "ctl/src/operator_client.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "model/model.h"

namespace baobabwall::ctl {
namespace internal {

// Longer than the 25 s for which the server holds a watch.
constexpr absl::Duration kRequestTimeout = absl::Seconds(40);

std::optional<Endpoint> ParseEndpoint(absl::string_view text,
                                      int default_port) {
  Endpoint endpoint;
  endpoint.port = default_port;
  absl::string_view port_text = text;
  if (!text.empty() && text.front() == '[') {
    const size_t end = text.find(']');
    if (end == absl::string_view::npos) {
      return std::nullopt;
    }
    endpoint.address = std::string(text.substr(1, end - 1));
    port_text = text.substr(end + 1);
  } else {
    const size_t colon = text.find(':');
    endpoint.address = std::string(text.substr(0, colon));
    port_text = colon == absl::string_view::npos ? "" : text.substr(colon);
  }
  const bool has_port = !port_text.empty() && port_text.front() == ':';
  if (has_port && !absl::SimpleAtoi(port_text.substr(1), &endpoint.port)) {
    return std::nullopt;
  }
  if ((!port_text.empty() && !has_port) || endpoint.port < 1 ||
      endpoint.port > 65535 || !model::ClientAddress::Parse(endpoint.address)) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace internal

std::optional<std::vector<Endpoint>> ParseEndpoints(absl::string_view text,
                                                    int default_port) {
  std::vector<Endpoint> endpoints;
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    const auto endpoint = internal::ParseEndpoint(part, default_port);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

OperatorClient::OperatorClient(std::string address, int port, std::string token)
    : OperatorClient({{std::move(address), port}}, std::move(token)) {}

OperatorClient::OperatorClient(std::vector<Endpoint> endpoints,
                               std::string token)
    : endpoints_(std::move(endpoints)), token_(std::move(token)), pool_(1) {}

bool OperatorClient::Call(absl::string_view method,
                          absl::string_view target,
                          absl::string_view body,
                          transport::HttpAnswer* answer) {
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    const size_t index = (first_endpoint_ + i) % endpoints_.size();
    const Endpoint& endpoint = endpoints_[index];
    if (transport::Fetch(&pool_, endpoint.address, endpoint.port, method,
                         target,
                         {{"Authorization", absl::StrCat("Bearer ", token_)},
                          {"Content-Type", "application/json"}},
                         body, internal::kRequestTimeout, answer)) {
      first_endpoint_ = index;
      return true;
    }
  }
  return false;
}

}  // namespace baobabwall::ctl
