/** @file hash_func.cpp 64-bit hashes computed by xxHash. */
#include "base/hash_func.h"

#include <xxhash.h>

#include <cstdio>

namespace cornelwell {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

Hash128 hash128(std::string_view text, std::uint64_t seed)
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), seed);
    return {hash.high64, hash.low64};
}

std::string hex64(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t rendezvousWeight(std::string_view node, std::string_view key)
{
    return hash64(node, hash64(key));
}

} // namespace cornelwell
