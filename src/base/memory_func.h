/** @file memory_func.h Settings of the memory allocator. */
#pragma once

namespace cornelwell {

/**
 * Makes the allocator return the memory of each large buffer to the system when it is freed. By
 * default it keeps up to twice the largest buffer that was freed before, and buffers of various
 * sizes leave gaps, so that a process can hold several times what it uses. Call it once at the
 * start.
 */
void returnFreedBuffersToSystem();

} // namespace cornelwell
