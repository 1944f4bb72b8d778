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

constexpr int kExitPortError = 1;
constexpr int kExitSettingsError = 2;

/// Interval at which the settings file is checked for changes that were not
/// announced by a signal.
constexpr std::chrono::seconds kSettingsCheckInterval{5};

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream stream(name);
  if (!stream) {
    return std::nullopt;
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

gateway::InstanceRecord MakeInstanceRecord(
    const settings::GatewaySettings& settings) {
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

/// Waits on the main thread for signals and for changes of the settings file.
class Supervisor {
 public:
  Supervisor(std::string file,
             std::string text,
             TrafficLoop* traffic,
             ControlThread* control)
      : settings_file_(std::move(file)),
        settings_text_(std::move(text)),
        traffic_(traffic),
        control_(control),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        settings_timer_(io_) {}

  /// \brief Returns when the shutdown is complete.
  void Run() {
    WaitForSignal();
    ScheduleSettingsCheck();
    io_.run();
  }

  /// \brief Makes Run() return. Thread-safe.
  void Stop() { io_.stop(); }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      LOG(INFO) << "process: signal number=" << signal;
      if (signal == SIGHUP) {
        ReloadSettings();
      } else {
        control_->Deregister();
        traffic_->StartShutdown();
      }
      WaitForSignal();
    });
  }

  void ScheduleSettingsCheck() {
    settings_timer_.expires_after(kSettingsCheckInterval);
    settings_timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      ReloadSettings();
      ScheduleSettingsCheck();
    });
  }

  void ReloadSettings() {
    const std::optional<std::string> text = ReadFile(settings_file_);
    if (!text) {
      LOG(WARNING) << "config: settings can't be read file=" << settings_file_;
      return;
    }
    if (*text == settings_text_) {
      return;
    }
    base::Findings findings;
    const auto settings =
        settings::ParseGatewaySettings(settings_file_, *text, &findings);
    if (!settings) {
      LOG(WARNING) << "config: new settings refused findings="
                   << findings.ToString();
      return;
    }
    settings_text_ = *text;
    // Addresses and names change only at the next start.
    traffic_->SetRetryBound(
        {settings->retry_ratio, settings->retry_extra, settings->retry_window});
    LOG(INFO) << "config: settings reloaded retry_ratio="
              << settings->retry_ratio
              << " retry_extra=" << settings->retry_extra;
  }

  std::string settings_file_;
  std::string settings_text_;
  TrafficLoop* traffic_;
  ControlThread* control_;
  asio::io_context io_{1};
  asio::signal_set signals_;
  asio::steady_timer settings_timer_;
};

int RunInstance(const std::string& file,
                const std::string& text,
                const settings::GatewaySettings& settings,
                const Dialect& dialect,
                const LogWriter& log_writer) {
  signal(SIGPIPE, SIG_IGN);
  const gateway::InstanceRecord self = MakeInstanceRecord(settings);
  const uint64_t seed = settings.seed != 0
                            ? static_cast<uint64_t>(settings.seed)
                            : base::StableHash(self.name, self.incarnation);
  transport::Metrics metrics;
  metrics.AddReader(kSuppressedLinesMetric, kSuppressedLinesHelp,
                    {{"by", "writer"}}, true, [&log_writer] {
                      return static_cast<double>(log_writer.suppressed_total());
                    });
  Supervisor* supervisor = nullptr;
  ControlThread* control = nullptr;
  TrafficLoop traffic(
      settings, &dialect, self, seed, &metrics,
      {[&](uint64_t fingerprint) { control->ReportCrash(fingerprint); },
       [&] { supervisor->Stop(); },
       [&](gateway::StatePosition position) {
         control->OnPeerPosition(position);
       }});
  ControlThread control_thread(
      &dialect, settings.store, self, seed, &metrics,
      [&](std::shared_ptr<const gateway::ControlView> view) {
        traffic.Publish(std::move(view));
      });
  control = &control_thread;
  Supervisor signal_supervisor(file, text, &traffic, &control_thread);
  supervisor = &signal_supervisor;
  if (!traffic.Open() || !control_thread.Open(settings.peers)) {
    return kExitPortError;
  }
  LOG(INFO) << "process: started instance=" << self.name
            << " zone=" << self.zone << " region=" << self.region
            << " incarnation=" << self.incarnation;
  control_thread.Start();
  traffic.Start();
  signal_supervisor.Run();
  traffic.Stop();
  control_thread.Stop();
  LOG(INFO) << "process: stopped instance=" << self.name;
  return 0;
}

}  // namespace internal

int RunGateway(const std::string& settings_file,
               bool check_only,
               const Dialect& dialect) {
  const std::optional<std::string> text = internal::ReadFile(settings_file);
  if (!text) {
    std::cerr << "cannot read the settings file '" << settings_file << "'\n";
    return internal::kExitSettingsError;
  }
  base::Findings findings;
  const auto settings =
      settings::ParseGatewaySettings(settings_file, *text, &findings);
  if (!settings) {
    std::cerr << findings.ToString();
    return internal::kExitSettingsError;
  }
  if (check_only) {
    return 0;
  }
  LogWriter log_writer(STDOUT_FILENO, settings->log_lines_per_s);
  log_writer.Install();
  const int exit_code = internal::RunInstance(settings_file, *text, *settings,
                                              dialect, log_writer);
  log_writer.Uninstall();
  return exit_code;
}

}  // namespace baobabwall::edge
