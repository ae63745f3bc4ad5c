/** @file random.h Random numbers that depend only on the seed, on any platform. */
#pragma once

#include "base/clock_type.h"

#include <cstdint>
#include <random>

namespace cornelwell {

/**
 * A seeded generator. It avoids the distributions of the standard library, whose results differ
 * between implementations.
 */
class Random
{
public:
    /** @param seed Equal seeds give equal sequences. */
    explicit Random(std::uint64_t seed) : m_engine(seed) {}

    /** @return a uniform number from 0 to @p bound - 1; 0 when @p bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : m_engine() % bound; }

    /** @return true with a probability of @p perMille in 1000. */
    bool chance(std::uint64_t perMille) { return below(1000) < perMille; }

    /** @return a uniform duration from 50% to 150% of @p span. */
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
