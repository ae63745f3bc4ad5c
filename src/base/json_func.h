/** @file json_func.h JSON parser that rejects duplicate keys and limits depth and size. */
#pragma once

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>

namespace cornelwell {

/** Limits and error codes of parseJson(). */
struct JsonOptions
{
    bool allowComments = false;         ///< Skip comments instead of rejecting them.
    std::size_t bytesMax = 1024 * 1024; ///< Largest accepted text, in bytes.
    std::size_t depthMax = 16;          ///< Deepest accepted nesting of objects and arrays.
    ResultCode syntaxCode = ResultCode::CatalogueFormat;    ///< Error code for syntax and limits.
    ResultCode duplicateCode = ResultCode::CatalogueFormat; ///< Error code for a duplicate key.
};

/**
 * Parses a JSON text.
 * @param text The text.
 * @param options Limits and error codes.
 * @return the document, or an error; for syntax errors its `where` names the line.
 */
Result<nlohmann::json> parseJson(const std::string &text, const JsonOptions &options);

/** @return true when @p text consists of 1 to 64 of the characters a-z, 0-9, '-', '_' and '.'. */
bool isPlainName(const std::string &text);

/**
 * Reads a whole file.
 * @param path Path of the file.
 * @param code Error code when the file cannot be read.
 * @return the content of the file, or an error with that code.
 */
Result<std::string> readFile(const std::string &path, ResultCode code);

} // namespace cornelwell
