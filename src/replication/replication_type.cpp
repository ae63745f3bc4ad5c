/** @file replication_type.cpp Names of the kinds of store calls; timeouts of watches. */
#include "replication/replication_type.h"

#include <algorithm>
#include <iterator>

namespace cornelwell {

namespace {

constexpr const char *CALL_NAMES[] = {"none", "read", "watch"};
static_assert(std::size(CALL_NAMES) == static_cast<std::size_t>(StoreCallKind::Count),
              "each kind needs a name");

/** Shares of the time in which a change has to be in force, in percent. */
constexpr std::int64_t WATCH_PERCENT = 50;
constexpr std::int64_t MARGIN_PERCENT = 25;
/** Shorter watches cost the store more calls than a confirmation of keys does. */
constexpr Duration WATCH_TIMEOUT_MIN{400};
/** A store that answers later than this is taken for unavailable. */
constexpr Duration MARGIN_MIN{500};
constexpr Duration REPORT_AGE_MAX{400}; ///< Interval of the states of a data centre's daemons.

} // namespace

const char *storeCallKindName(StoreCallKind kind)
{
    return CALL_NAMES[static_cast<std::size_t>(kind)];
}

ReplicationOptions ReplicationOptions::forChangeBound(Duration bound)
{
    ReplicationOptions options;
    options.watchTimeout = std::max(bound * WATCH_PERCENT / 100, WATCH_TIMEOUT_MIN);
    options.watchAnswerMargin = std::max(bound * MARGIN_PERCENT / 100, MARGIN_MIN);
    options.freshStoreAge = options.watchTimeout + options.watchAnswerMargin + REPORT_AGE_MAX;
    return options;
}

} // namespace cornelwell
