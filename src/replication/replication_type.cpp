/** @file replication_type.cpp Names of the kinds of store calls. */
#include "replication/replication_type.h"

#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *CALL_NAMES[] = {"none", "read", "watch"};
static_assert(std::size(CALL_NAMES) == static_cast<std::size_t>(StoreCallKind::Count),
              "each kind needs a name");

} // namespace

const char *storeCallKindName(StoreCallKind kind)
{
    return CALL_NAMES[static_cast<std::size_t>(kind)];
}

} // namespace cornelwell
