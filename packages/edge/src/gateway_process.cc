#include "edge/src/gateway_process.h"

#include <signal.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

#include "absl/time/clock.h"
#include "edge/src/control_thread.h"
#include "edge/src/log_writer.h"
#include "edge/src/traffic_loop.h"
#include "glog/logging.h"
#include "settings/settings.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

constexpr int kExitPorts = 1;
constexpr int kExitSettings = 2;

/// The settings file may change without a signal.
constexpr std::chrono::seconds kSettingsCheck{5};

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream stream(name);
  if (!stream) {
    return std::nullopt;
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

gateway::InstanceRecord RecordOf(const settings::GatewaySettings& settings) {
  gateway::InstanceRecord record;
  record.name = settings.instance_name;
  record.incarnation = absl::ToUnixMillis(absl::Now());
  record.zone = settings.zone;
  record.region = settings.zone_regions.at(settings.zone);
  record.callers = settings.callers;
  record.peer_port = settings.peers.port;
  record.cpu_share = settings.cpu_share;
  return record;
}

/// Waits for signals and changes of the settings on the main thread.
class Supervisor {
 public:
  Supervisor(std::string file,
             std::string text,
             TrafficLoop* traffic,
             ControlThread* control)
      : file_(std::move(file)),
        text_(std::move(text)),
        traffic_(traffic),
        control_(control),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        timer_(io_) {}

  /// \brief Returns once the shutdown is complete.
  void Run() {
    WaitForSignal();
    WatchSettings();
    io_.run();
  }

  /// Thread-safe.
  void End() { io_.stop(); }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      LOG(INFO) << "process: signal number=" << signal;
      if (signal == SIGHUP) {
        Reload();
      } else {
        control_->Leave();
        traffic_->Leave();
      }
      WaitForSignal();
    });
  }

  void WatchSettings() {
    timer_.expires_after(kSettingsCheck);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      Reload();
      WatchSettings();
    });
  }

  void Reload() {
    const std::optional<std::string> text = ReadFile(file_);
    if (!text) {
      LOG(WARNING) << "config: settings can't be read file=" << file_;
      return;
    }
    if (*text == text_) {
      return;
    }
    base::Findings findings;
    const auto settings =
        settings::ParseGatewaySettings(file_, *text, &findings);
    if (!settings) {
      LOG(WARNING) << "config: new settings refused findings="
                   << findings.ToString();
      return;
    }
    text_ = *text;
    // Addresses and names hold until the next start.
    traffic_->SetRetryBound(
        {settings->retry_ratio, settings->retry_extra, settings->retry_window});
    LOG(INFO) << "config: settings reloaded retry_ratio="
              << settings->retry_ratio
              << " retry_extra=" << settings->retry_extra;
  }

  std::string file_;
  std::string text_;
  TrafficLoop* traffic_;
  ControlThread* control_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer timer_;
};

int Serve(const std::string& file,
          const std::string& text,
          const settings::GatewaySettings& settings,
          const Dialect& dialect,
          const LogWriter& log) {
  signal(SIGPIPE, SIG_IGN);
  const gateway::InstanceRecord self = RecordOf(settings);
  const uint64_t seed = settings.seed != 0
                            ? static_cast<uint64_t>(settings.seed)
                            : base::StableHash(self.name, self.incarnation);
  transport::Metrics metrics;
  metrics.AddReader(
      kLeftOutMetric, kLeftOutHelp, {{"by", "writer"}}, true,
      [&log] { return static_cast<double>(log.left_out_total()); });
  Supervisor* supervisor = nullptr;
  ControlThread* control = nullptr;
  TrafficLoop traffic(
      settings, &dialect, self, seed, &metrics,
      {[&](uint64_t fingerprint) { control->ReportCrash(fingerprint); },
       [&] { supervisor->End(); },
       [&](int64_t revision) { control->NotePeerRevision(revision); }});
  ControlThread control_thread(
      &dialect, settings.store, self, seed, &metrics,
      [&](std::shared_ptr<const gateway::ControlView> view) {
        traffic.Publish(std::move(view));
      });
  control = &control_thread;
  Supervisor signals(file, text, &traffic, &control_thread);
  supervisor = &signals;
  if (!traffic.Open() || !control_thread.Open(settings.peers)) {
    return kExitPorts;
  }
  LOG(INFO) << "process: started instance=" << self.name
            << " zone=" << self.zone << " region=" << self.region
            << " incarnation=" << self.incarnation;
  control_thread.Start();
  traffic.Start();
  signals.Run();
  traffic.Stop();
  control_thread.Stop();
  LOG(INFO) << "process: stopped instance=" << self.name;
  return 0;
}

}  // namespace internal

int RunGateway(const std::string& settings_file,
               bool only_check,
               const Dialect& dialect) {
  const std::optional<std::string> text = internal::ReadFile(settings_file);
  if (!text) {
    std::cerr << "cannot read the settings file '" << settings_file << "'\n";
    return internal::kExitSettings;
  }
  base::Findings findings;
  const auto settings =
      settings::ParseGatewaySettings(settings_file, *text, &findings);
  if (!settings) {
    std::cerr << findings.ToString();
    return internal::kExitSettings;
  }
  if (only_check) {
    return 0;
  }
  LogWriter log(STDOUT_FILENO, settings->log_lines_per_s);
  log.Install();
  const int result =
      internal::Serve(settings_file, *text, *settings, dialect, log);
  log.Uninstall();
  return result;
}

}  // namespace baobabwall::edge
