/** @file foreign_json_func.h Parser of JSON that holds parts of other writers. */
#pragma once

#include "base/json_func.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cornelwell {

/** A part of a text that parseForeignJson() replaced. */
struct JsonFault
{
    std::string where;  ///< JSON pointer to the part.
    std::string detail; ///< Why it cannot be read.
};

/**
 * Parses a text of which each part may come from another writer. A part that the parser would
 * refuse the whole text for does not hide the others: a number without a finite value and a value
 * nested deeper than the limit become an empty object, a byte of a text that is no UTF-8 or a
 * control character becomes a question mark.
 * @param text The text.
 * @param options Limits and error codes; comments and duplicate keys are not looked at.
 * @param faults Receives the replaced parts, in order.
 * @return the document, or an error when the text as a whole is no JSON or too long.
 */
Result<nlohmann::json> parseForeignJson(const std::string &text, const JsonOptions &options,
                                        std::vector<JsonFault> &faults);

/**
 * Parses CBOR.
 * @param bytes The bytes.
 * @param depthMax Deepest accepted nesting of objects and arrays.
 * @param code Error code for malformed bytes and for the limit.
 */
Result<nlohmann::json> parseCbor(std::string_view bytes, std::size_t depthMax, ResultCode code);

/** @return the number that the whole text is in digits of @p base, without a sign; else nothing. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base);

} // namespace cornelwell
