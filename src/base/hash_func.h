/** @file hash_func.h 64-bit hashes of text (xxhash), the same on every daemon. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelwell {

/** @return the 64-bit hash of @p text; @p seed makes families of hashes. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** @return @p value as 16 hexadecimal digits. */
std::string hex64(std::uint64_t value);

/**
 * Rendezvous weight of a node for a key: the highest weight owns the key.
 * @param node Name of the node.
 * @param key What is to be owned.
 * @return the weight.
 */
std::uint64_t rendezvousWeight(std::string_view node, std::string_view key);

} // namespace cornelwell
