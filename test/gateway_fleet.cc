#include "gateway_fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "free_port.h"
#include "operations_page.h"

namespace baobabwall::test {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{8};

json MakeRoute(const std::string& name, bool is_idempotent, int timeout_ms) {
  return {{"name", name},
          {"prefix", absl::StrCat("/", name, "/")},
          {"route_type", is_idempotent ? "idempotent" : "non_idempotent"},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", 400},
          {"priority", 1},
          {"service", "s"},
          {"max_attempts", 2},
          {"session_affinity", true},
          {"allowed_regions", json::array()}};
}

}  // namespace

CallerAnswer Call(int port,
                  const std::string& method,
                  const std::string& target,
                  const std::vector<std::string>& headers,
                  const std::string& body) {
  edge::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  edge::HttpRequest request(edge::http::string_to_verb(method), target, 11);
  request.set(edge::http::field::host, "h.example");
  for (const std::string& header : headers) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(header, absl::MaxSplits(": ", 1));
    request.set(parts.first, parts.second);
  }
  request.body() = body;
  request.prepare_payload();
  CallerAnswer result;
  edge::HttpResponse answer;
  boost::beast::flat_buffer buffer;
  bool is_answered = false;
  stream.expires_after(kCallTimeout);
  stream.async_connect(
      edge::tcp::endpoint(edge::asio::ip::make_address("127.0.0.1"),
                          static_cast<uint16_t>(port)),
      [&](boost::system::error_code error) {
        if (error) {
          return;
        }
        edge::http::async_write(
            stream, request,
            [&](boost::system::error_code write_error, size_t) {
              if (write_error) {
                return;
              }
              edge::http::async_read(
                  stream, buffer, answer,
                  [&](boost::system::error_code read_error, size_t) {
                    is_answered = !read_error;
                  });
            });
      });
  io.run();
  if (!is_answered) {
    return result;
  }
  result.status = answer.result_int();
  result.body = answer.body();
  result.is_signed = answer.find("X-Server-Stamp") != answer.end();
  result.is_server_leaving = answer["Server-Leaving"] == "1";
  double seconds = 0;
  if (absl::SimpleAtod(std::string(answer["Retry-After"]), &seconds)) {
    result.retry_after = absl::Seconds(seconds);
  }
  return result;
}

bool WaitFor(const std::function<bool()>& condition, absl::Duration limit) {
  const absl::Time end = absl::Now() + limit;
  while (absl::Now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return condition();
}

GatewayFleet::GatewayFleet(std::string name)
    : folder_(absl::StrCat(std::filesystem::temp_directory_path().string(),
                           "/baobabwall-",
                           name,
                           "-",
                           getpid())),
      store_port_(platform_.store_port()) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
}

void GatewayFleet::Start(const std::string& instance, const std::string& zone) {
  Instance& entry = instances_[instance];
  entry.zone = zone;
  for (int* port : {&entry.callers, &entry.readiness, &entry.lookups,
                    &entry.peers, &entry.metrics}) {
    *port = FreePort();
  }
  WriteSettings(instance, entry, extra_settings_);
  Restart(instance);
}

void GatewayFleet::WriteSettings(const std::string& instance,
                                 const Instance& entry,
                                 const std::string& extra_settings) const {
  std::ofstream settings(absl::StrCat(folder_, "/", instance, ".ini"));
  const auto address = [](const char* section, int port) {
    return absl::StrCat("[", section, "]\naddress = 127.0.0.1:", port, "\n");
  };
  settings << "[instance]\nname = " << instance << "\nzone = " << entry.zone
           << "\n"
           << address("callers", entry.callers)
           << address("readiness", entry.readiness)
           << address("lookups", entry.lookups) << address("peers", entry.peers)
           << address("metrics", entry.metrics) << address("store", store_port_)
           << "[zones]\na-1 = a\na-2 = a\nb-1 = b\n"
           << "[shutdown]\ngrace_s = 4\n"
           << extra_settings;
}

bool GatewayFleet::AcceptsSettings(const std::string& extra_settings) const {
  const std::string name = "settings-check";
  // The check does not open the addresses; any port is valid.
  Instance entry;
  entry.zone = "a-1";
  for (int* port : {&entry.callers, &entry.readiness, &entry.lookups,
                    &entry.peers, &entry.metrics}) {
    *port = 1;
  }
  WriteSettings(name, entry, extra_settings);
  ChildProcess check({BAOBABWALLD, "--gateway", "--check",
                      absl::StrCat("--settings=", folder_, "/", name, ".ini")},
                     absl::StrCat(folder_, "/", name, ".log"));
  return check.Wait() == 0;
}

void GatewayFleet::Restart(const std::string& instance) {
  Instance& entry = instances_.at(instance);
  entry.process.reset();
  entry.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          BAOBABWALLD, "--gateway",
          absl::StrCat("--settings=", folder_, "/", instance, ".ini")},
      absl::StrCat(folder_, "/", instance, ".log"), standard_output_,
      descriptor_limit_);
}

bool GatewayFleet::WaitReady(const std::string& instance) const {
  const int port = instances_.at(instance).readiness;
  return WaitFor(
      [&] { return Call(port, "GET", "/baobabwall/readiness").status == 200; });
}

std::string GatewayFleet::Log(const std::string& instance) const {
  std::ifstream stream(absl::StrCat(folder_, "/", instance, ".log"));
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::vector<std::string> GatewayFleet::LogFindings() const {
  const OperationsPage page;
  std::vector<std::string> findings;
  for (const auto& [instance, entry] : instances_) {
    std::stringstream log(Log(instance));
    std::string line;
    // A killed process may leave an incomplete last line.
    while (std::getline(log, line) && !log.eof()) {
      const std::string finding = page.Check(line);
      if (!finding.empty()) {
        findings.push_back(finding);
      }
    }
  }
  return findings;
}

void GatewayFleet::PutConfig(int version, const ConfigLimits& limits) {
  const int timeout_ms = limits.route_timeout_ms;
  json paths = {MakeRoute("read", true, timeout_ms),
                MakeRoute("book", false, timeout_ms)};
  if (version >= 10) {
    paths.push_back(MakeRoute("later", true, timeout_ms));
  }
  if (!accounts_.empty()) {
    paths.push_back(MakeRoute("open", true, timeout_ms));
    paths.back()["public"] = true;
  }
  json config = {
      {"version", version},
      {"services",
       {{{"name", "s"},
         {"health_check_path", "/health"},
         {"max_connections", 300},
         {"warmup_s", 0.0},
         {"cold_per_s", 100.0}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", limits.max_body_bytes},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", limits.idle_timeout_ms}}},
      {"virtual_hosts", {{{"host", "h.example"}, {"paths", paths}}}}};
  if (!accounts_.empty()) {
    config["tenants"] = json::parse(accounts_);
  }
  platform_.Put("op/config", config.dump());
}

}  // namespace baobabwall::test
