/** @file hash_func.h 64-bit hashes of text (xxHash) that are equal on all daemons. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelwell {

/** @return the 64-bit hash of @p text; different seeds give independent hashes. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** A 128-bit hash. */
struct Hash128
{
    std::uint64_t high = 0; ///< Upper half.
    std::uint64_t low = 0;  ///< Lower half.

    friend bool operator==(const Hash128 &a, const Hash128 &b)
    {
        return a.high == b.high && a.low == b.low;
    }
};

/** @return the 128-bit hash (XXH3) of @p text; different seeds give independent hashes. */
Hash128 hash128(std::string_view text, std::uint64_t seed);

/** @return @p value as 16 hexadecimal digits. */
std::string hex64(std::uint64_t value);

/**
 * Weight of a node for a key in rendezvous hashing; the node with the highest weight owns the key.
 * @param node Name of the node.
 * @param key The key to assign.
 * @return the weight.
 */
std::uint64_t rendezvousWeight(std::string_view node, std::string_view key);

} // namespace cornelwell
