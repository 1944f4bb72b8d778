#ifndef BENCH_ALLOCATION_COUNT_H_
#define BENCH_ALLOCATION_COUNT_H_

#include <cstdint>

namespace baobabwall {

/// \returns the number of calls of operator new since the start of the process.
/// The counters are not synchronised, so only single-threaded programs may use
/// them.
int64_t AllocationCount();

/// \returns the number of heap bytes in use.
int64_t HeapBytesInUse();

}  // namespace baobabwall

#endif  // BENCH_ALLOCATION_COUNT_H_
