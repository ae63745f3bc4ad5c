/** @file memory_func.cpp Settings of glibc's allocator. */
#include "base/memory_func.h"

#include <malloc.h>

namespace cornelwell {

namespace {

/** Buffers of this size and more are mapped each on its own. It is the allocator's initial value;
 * once set, the allocator does not raise it. */
constexpr int MAPPED_BUFFER_BYTES_MIN = 128 * 1024;

} // namespace

void returnFreedBuffersToSystem()
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_BUFFER_BYTES_MIN);
}

} // namespace cornelwell
