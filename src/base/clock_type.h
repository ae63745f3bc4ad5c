/** @file clock_type.h Time points and durations in whole milliseconds. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** A length of time; may be negative. */
struct Duration
{
    std::int64_t ms = 0; ///< Length in milliseconds.
};

/** A point in time on one clock. Points of different clocks must not be compared. */
struct TimePoint
{
    std::int64_t ms = 0; ///< Milliseconds since the clock's epoch.
};

constexpr Duration operator+(Duration a, Duration b)
{
    return {a.ms + b.ms};
}
constexpr Duration operator-(Duration a, Duration b)
{
    return {a.ms - b.ms};
}
constexpr Duration operator*(Duration a, std::int64_t k)
{
    return {a.ms * k};
}
constexpr Duration operator/(Duration a, std::int64_t k)
{
    return {a.ms / k};
}
constexpr TimePoint operator+(TimePoint t, Duration d)
{
    return {t.ms + d.ms};
}
constexpr TimePoint operator-(TimePoint t, Duration d)
{
    return {t.ms - d.ms};
}
constexpr Duration operator-(TimePoint a, TimePoint b)
{
    return {a.ms - b.ms};
}

constexpr bool operator==(Duration a, Duration b)
{
    return a.ms == b.ms;
}
constexpr bool operator!=(Duration a, Duration b)
{
    return a.ms != b.ms;
}
constexpr bool operator<(Duration a, Duration b)
{
    return a.ms < b.ms;
}
constexpr bool operator<=(Duration a, Duration b)
{
    return a.ms <= b.ms;
}
constexpr bool operator>(Duration a, Duration b)
{
    return a.ms > b.ms;
}
constexpr bool operator>=(Duration a, Duration b)
{
    return a.ms >= b.ms;
}
constexpr bool operator==(TimePoint a, TimePoint b)
{
    return a.ms == b.ms;
}
constexpr bool operator!=(TimePoint a, TimePoint b)
{
    return a.ms != b.ms;
}
constexpr bool operator<(TimePoint a, TimePoint b)
{
    return a.ms < b.ms;
}
constexpr bool operator<=(TimePoint a, TimePoint b)
{
    return a.ms <= b.ms;
}
constexpr bool operator>(TimePoint a, TimePoint b)
{
    return a.ms > b.ms;
}
constexpr bool operator>=(TimePoint a, TimePoint b)
{
    return a.ms >= b.ms;
}

constexpr Duration milliseconds(std::int64_t ms)
{
    return {ms};
}
constexpr Duration seconds(std::int64_t s)
{
    return {s * 1000};
}

/** A point in time that no clock reaches. */
constexpr TimePoint NEVER{INT64_MAX};

} // namespace cornelwell
