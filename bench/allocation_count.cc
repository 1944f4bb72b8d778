#include "allocation_count.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace baobabwall {
namespace {

int64_t allocation_count = 0;
int64_t heap_bytes = 0;

}  // namespace

int64_t AllocationCount() {
  return allocation_count;
}

int64_t HeapBytesInUse() {
  return heap_bytes;
}

}  // namespace baobabwall

void* operator new(size_t size) {
  ++baobabwall::allocation_count;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  baobabwall::heap_bytes += static_cast<int64_t>(malloc_usable_size(memory));
  return memory;
}

void operator delete(void* memory) noexcept {
  baobabwall::heap_bytes -= static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  baobabwall::heap_bytes -= static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}
