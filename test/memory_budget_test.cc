#include "edge/src/memory_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <ostream>
#include <utility>
#include <vector>

#include "rapidcheck/state.h"

namespace baobabwall::edge {
namespace {

using Part = MemoryBudget::Part;
using Use = MemoryBudget::Use;

constexpr uint64_t kLimit = 1000;
constexpr size_t kSlotCount = 6;

/// Model of the state machine for RapidCheck. It is empty because every step is
/// valid in every state.
struct EmptyModel {};

struct Budget {
  Budget() {
    for (MemoryBudget::Reservation& slot : slots) {
      slot = MemoryBudget::Reservation(&budget, Use::kLargeRequest);
    }
  }

  MemoryBudget budget{kLimit};
  std::vector<MemoryBudget::Reservation> slots{kSlotCount};

  uint64_t total() const {
    return budget.used(Part::kShared) + budget.used(Part::kSmallRequests) +
           budget.used(Part::kAnswers);
  }
};

void CheckSums(const Budget& sut) {
  uint64_t sum = 0;
  for (const MemoryBudget::Reservation& slot : sut.slots) {
    sum += slot.bytes();
  }
  RC_ASSERT(sut.total() == sum);
  for (const Part part : {Part::kSmallRequests, Part::kAnswers}) {
    RC_ASSERT(sut.budget.used(part) <= sut.budget.size(part));
  }
}

/// Starts, resizes, moves or releases a reservation.
struct Step : rc::state::Command<EmptyModel, Budget> {
  int kind = *rc::gen::inRange(0, 5);
  size_t slot = *rc::gen::inRange<size_t>(0, kSlotCount);
  size_t other = *rc::gen::inRange<size_t>(0, kSlotCount);
  Use use =
      *rc::gen::element(Use::kLargeRequest, Use::kSmallRequest, Use::kAnswer);
  uint64_t bytes = *rc::gen::inRange<uint64_t>(0, kLimit * 2 / 3);

  void run(const EmptyModel& /*model*/, Budget& sut) const override {
    MemoryBudget::Reservation& reservation = sut.slots[slot];
    const uint64_t before = reservation.bytes();
    const uint64_t total = sut.total();
    if (kind == 0) {
      reservation = MemoryBudget::Reservation(&sut.budget, use);
      RC_ASSERT(sut.total() == total - before);
    } else if (kind == 1) {
      const uint64_t shared = sut.budget.used(Part::kShared);
      const bool is_resized = reservation.TryResize(bytes);
      RC_ASSERT(is_resized || bytes > before);
      RC_ASSERT(reservation.bytes() == (is_resized ? bytes : before));
      const uint64_t shared_after = sut.budget.used(Part::kShared);
      RC_ASSERT(shared_after <= shared ||
                shared_after <= sut.budget.size(Part::kShared));
    } else if (kind == 2) {
      reservation.Resize(bytes);
    } else if (kind == 3 && slot != other) {
      const uint64_t replaced = sut.slots[other].bytes();
      sut.slots[other] = std::move(reservation);
      RC_ASSERT(sut.slots[other].bytes() == before);
      // The case checks that a moved reservation holds nothing.
      // NOLINTNEXTLINE(bugprone-use-after-move)
      RC_ASSERT(reservation.bytes() == 0U);
      RC_ASSERT(sut.total() == total - replaced);
    } else if (kind == 4) {
      reservation.Release();
      RC_ASSERT(sut.total() == total - before);
    }
    CheckSums(sut);
  }

  void show(std::ostream& out) const override {
    out << "kind " << kind << " slot " << slot << " other " << other << " use "
        << static_cast<int>(use) << " bytes " << bytes;
  }
};

// Guards against bytes that are lost or returned twice when reservations grow,
// shrink, move and end in any order, and against use of another part.
TEST_CASE("the sums of the parts are the sizes of the reservations") {
  CHECK(rc::check([] {
    Budget sut;
    rc::state::check(EmptyModel(), sut,
                     rc::state::gen::execOneOfWithArgs<Step>());
    sut.slots.clear();
    RC_ASSERT(sut.total() == 0U);
  }));
}

// Guards against large requests that use up the room of small requests and of
// answers.
TEST_CASE("large requests leave the parts of the other uses free") {
  MemoryBudget budget(kLimit);
  MemoryBudget::Reservation large(&budget, Use::kLargeRequest);
  CHECK(!large.TryResize(kLimit));
  CHECK(large.bytes() == 0);
  REQUIRE(large.TryResize(budget.size(Part::kShared)));
  MemoryBudget::Reservation small(&budget, Use::kSmallRequest);
  MemoryBudget::Reservation answer(&budget, Use::kAnswer);
  CHECK(small.TryResize(budget.size(Part::kSmallRequests)));
  CHECK(!small.TryResize(budget.size(Part::kSmallRequests) + 1));
  CHECK(answer.TryResize(budget.size(Part::kAnswers)));
  CHECK(!answer.TryResize(budget.size(Part::kAnswers) + 1));
  large.Release();
  CHECK(answer.TryResize(budget.size(Part::kAnswers) + 1));
}

// Guards against an accepted growth while memory is held beyond the budget.
TEST_CASE("nothing grows while the budget is exceeded") {
  MemoryBudget budget(kLimit);
  MemoryBudget::Reservation answer(&budget, Use::kAnswer);
  answer.Resize(2 * kLimit);
  MemoryBudget::Reservation large(&budget, Use::kLargeRequest);
  CHECK(!large.TryResize(1));
  CHECK(!answer.TryResize(2 * kLimit + 1));
  CHECK(answer.TryResize(kLimit));
  answer.Release();
  CHECK(large.TryResize(1));
}

// Guards against a deployment without a limit whose requests are refused.
TEST_CASE("a budget without a limit counts and never refuses") {
  MemoryBudget budget;
  MemoryBudget::Reservation large(&budget, Use::kLargeRequest);
  CHECK(large.TryResize(uint64_t{1} << 40));
  CHECK(budget.used(Part::kShared) == uint64_t{1} << 40);
}

}  // namespace
}  // namespace baobabwall::edge
