#ifndef CONTROL_SRC_INSTANCE_LIFE_CYCLE_H_
#define CONTROL_SRC_INSTANCE_LIFE_CYCLE_H_

#include <memory>
#include <string>

#include "chart/chart.h"

namespace baobabwall::control {

/// \brief Life cycle of an instance, driven by charts/instance.chart.
/// \sa InstanceVocabulary
class InstanceLifeCycle {
 public:
  explicit InstanceLifeCycle(std::shared_ptr<const chart::StateChart> chart)
      : machine_(std::move(chart)) {}

  /// \param event one of the events of InstanceVocabulary().
  void Handle(absl::string_view event) {
    for (const std::string& action : machine_.Handle(event)) {
      if (action == "admit") {
        is_admitting_ = true;
      } else if (action == "refuse" || action == "stop-admitting") {
        is_admitting_ = false;
      } else if (action == "announce") {
        is_leaving_ = true;
      } else if (action == "abort-rest") {
        is_admitting_ = false;
        is_aborting_ = true;
      }
    }
  }

  const std::string& state() const { return machine_.state(); }
  bool is_admitting() const { return is_admitting_; }
  bool is_leaving() const { return is_leaving_; }
  bool is_aborting() const { return is_aborting_; }

 private:
  chart::StateMachine machine_;
  bool is_admitting_ = false;
  bool is_leaving_ = false;
  bool is_aborting_ = false;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_INSTANCE_LIFE_CYCLE_H_
