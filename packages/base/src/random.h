#ifndef BASE_SRC_RANDOM_H_
#define BASE_SRC_RANDOM_H_

#include <cstdint>
#include <random>

namespace baobabwall::base {

/// \brief Seeded random number generator with the same sequence for every
/// standard library.
///
/// The distributions in <random> differ between implementations. This class
/// uses only the engine, whose sequence the C++ standard defines.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// \param bound exclusive upper bound; must be positive.
  /// \returns a random integer from 0 to bound - 1.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

  /// \returns a random number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace baobabwall::base

#endif  // BASE_SRC_RANDOM_H_
