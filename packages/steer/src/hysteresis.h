#ifndef STEER_SRC_HYSTERESIS_H_
#define STEER_SRC_HYSTERESIS_H_

#include <string>
#include <utility>
#include <vector>

namespace baobabwall::steer {

/// \brief Keeps the current choice until another candidate is better by a
/// margin.
class Hysteresis {
 public:
  /// The choice changes only if the best score is lower than the current score
  /// by this fraction.
  static constexpr double kMinImprovement = 0.2;

  /// \brief Chooses a candidate.
  /// \param scores names with their scores, at least one; lower is better.
  /// \param is_enabled if false, the best candidate is always chosen.
  const std::string& Choose(
      const std::vector<std::pair<std::string, double>>& scores,
      bool is_enabled) {
    const std::pair<std::string, double>* best = &scores.front();
    const std::pair<std::string, double>* current = nullptr;
    for (const auto& entry : scores) {
      best = entry.second < best->second ? &entry : best;
      current = entry.first == current_name_ ? &entry : current;
    }
    if (!is_enabled || current == nullptr ||
        best->second < current->second * (1 - kMinImprovement)) {
      current_name_ = best->first;
    }
    return current_name_;
  }

 private:
  std::string current_name_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_HYSTERESIS_H_
