/** @file random.h Seeded random numbers whose sequence is the same on every machine. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <random>

namespace cornelwell {

/** A seeded generator; its draws do not depend on the standard library's distributions. */
class Random
{
public:
    /** @param seed The same seed gives the same sequence. */
    explicit Random(std::uint64_t seed) : m_engine(seed) {}

    /** @return a number from 0 to @p bound - 1; 0 when @p bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : m_engine() % bound; }

    /** @return true in @p perMille of 1000 draws. */
    bool chance(std::uint64_t perMille) { return below(1000) < perMille; }

    /** @return a span spread evenly from half of @p span up to one and a half of it. */
    Duration jitter(Duration span)
    {
        const auto width = static_cast<std::uint64_t>(span.ms < 0 ? 0 : span.ms);
        return {span.ms / 2 + static_cast<std::int64_t>(below(width + 1))};
    }

    /** @return 64 random bits. */
    std::uint64_t bits() { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace cornelwell
