#ifndef EDGE_SRC_MEMORY_BUDGET_H_
#define EDGE_SRC_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace baobabwall::edge {

/// \brief Bounds the memory that requests and answers may hold.
///
/// The budget has one part for small requests, one for answers and one that all
/// share. Small requests and answers use the shared part when their own part is
/// used up. Not thread-safe: one event loop uses it. It must outlive its
/// reservations.
class MemoryBudget {
 public:
  enum class Use { kLargeRequest, kSmallRequest, kAnswer };
  enum class Part { kShared, kSmallRequests, kAnswers };
  static constexpr size_t kPartCount = 3;

  /// Fractions of the budget that are reserved for small requests and for
  /// answers.
  static constexpr double kSmallRequestFraction = 0.125;
  static constexpr double kAnswerFraction = 0.125;

  /// \brief Bytes that are taken from a budget and returned on destruction.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(MemoryBudget* budget, Use use) : budget_(budget), use_(use) {}
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() { Release(); }

    /// \returns false, without a change, if the budget has no room. Always
    /// succeeds if the size does not grow.
    bool TryResize(uint64_t bytes);
    /// \brief Resizes beyond the budget if necessary, for memory that is held
    /// already. Other reservations cannot grow until it is returned.
    void Resize(uint64_t bytes);
    void Release() { Resize(0); }
    Use use() const { return use_; }
    uint64_t bytes() const { return own_bytes_ + shared_bytes_; }

   private:
    MemoryBudget* budget_ = nullptr;
    Use use_ = Use::kLargeRequest;
    uint64_t own_bytes_ = 0;  ///< From the part of this use.
    uint64_t shared_bytes_ = 0;
  };

  /// \param limit size of the budget in bytes; 0 for a budget without limit.
  explicit MemoryBudget(uint64_t limit = 0);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  bool is_limited() const { return limit_ > 0; }
  uint64_t limit() const { return limit_; }
  /// \returns whether small requests find no room.
  bool IsFull() const {
    return is_limited() && Room(Part::kShared) == 0 &&
           Room(Part::kSmallRequests) == 0;
  }
  /// \returns whether more is held than the budget allows.
  bool IsExceeded() const {
    return is_limited() && used(Part::kShared) > size(Part::kShared);
  }
  uint64_t size(Part part) const { return parts_[Index(part)].size; }
  uint64_t used(Part part) const { return parts_[Index(part)].used; }

 private:
  struct PartState {
    uint64_t size = 0;
    uint64_t used = 0;
  };

  static size_t Index(Part part) { return static_cast<size_t>(part); }
  static Part OwnPart(Use use);
  /// \returns the bytes that can still be taken from the part.
  uint64_t Room(Part part) const;

  uint64_t limit_;
  std::array<PartState, kPartCount> parts_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_MEMORY_BUDGET_H_
