/** @file clock_type.h The project's time: points and spans in whole milliseconds. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** A span of time in milliseconds. */
struct Duration
{
    std::int64_t ms = 0; ///< Length of the span in milliseconds.
};

/** A point on a clock, in milliseconds from the origin of that clock. */
struct TimePoint
{
    std::int64_t ms = 0; ///< Milliseconds since the clock's origin.
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

/** Milliseconds as a span. */
constexpr Duration milliseconds(std::int64_t ms)
{
    return {ms};
}
/** Seconds as a span. */
constexpr Duration seconds(std::int64_t s)
{
    return {s * 1000};
}

/** A point that no clock reaches. */
constexpr TimePoint NEVER{INT64_MAX};

} // namespace cornelwell
