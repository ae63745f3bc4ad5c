/** @file store_era.h Detects that the platform's store came back from an older copy. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** What an answer's era says about the answer. */
enum class EraVerdict : std::uint8_t
{
    Current,  ///< Of the era that is known.
    Raised,   ///< The store came back from a copy since the last answer.
    Outdated, ///< Of an earlier era; the answer must not be used.
};

/**
 * Era of the platform's store. Revisions are comparable only within an era: a store that comes back
 * from a copy raises the era and gives out revisions again.
 */
class StoreEra
{
public:
    /** Compares the era of an answer or of a peer with the known one. @param era 0 when unknown. */
    EraVerdict observe(std::uint64_t era)
    {
        if (era == 0 || era == m_era)
            return EraVerdict::Current;
        if (era < m_era)
            return EraVerdict::Outdated;
        const bool first = m_era == 0;
        m_era = era;
        return first ? EraVerdict::Current : EraVerdict::Raised;
    }
    /** @return the highest era seen; 0 before the first. */
    std::uint64_t current() const { return m_era; }

private:
    std::uint64_t m_era = 0;
};

} // namespace cornelwell
