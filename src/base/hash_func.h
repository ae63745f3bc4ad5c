/** @file hash_func.h 64-bit hashes of text (xxHash) that are equal on all daemons. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelwell {

/** @return the 64-bit hash of @p text; different seeds give independent hashes. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

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
