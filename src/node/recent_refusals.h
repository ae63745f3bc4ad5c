/** @file recent_refusals.h Requests that were refused a short while ago, to know them again. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cornelwell {

/** Remembers refused requests by their hash, with the softDeadline of the first try. */
class RecentRefusals
{
public:
    /** A request was refused. */
    void add(std::uint64_t fingerprint, TimePoint softDeadline, TimePoint until);
    /** @return the softDeadline of the first try, when this request was refused before; it is
     * forgotten then. */
    std::optional<TimePoint> take(std::uint64_t fingerprint, TimePoint now);

private:
    /** One refused request. */
    struct Item
    {
        TimePoint softDeadline{0};
        TimePoint until{0};
        unsigned count = 0; ///< Several callers may have sent the same request.
    };

    std::unordered_map<std::uint64_t, Item> m_items;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_order;
};

} // namespace cornelwell
