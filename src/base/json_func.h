/** @file json_func.h JSON text to checked documents: duplicate keys, depth and size are bounded. */
#pragma once

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>

namespace cornelwell {

/** How a JSON text is read. */
struct JsonOptions
{
    bool comments = false;                                  ///< Take comments as white space.
    std::size_t bytesMax = 1024 * 1024;                     ///< Longest text, in bytes.
    std::size_t depthMax = 16;                              ///< Deepest nesting.
    ResultCode syntaxCode = ResultCode::CatalogueFormat;    ///< Code of a syntax error.
    ResultCode duplicateCode = ResultCode::CatalogueFormat; ///< Code of a key that stands twice.
};

/**
 * Parses a JSON text.
 * @param text The text.
 * @param options Bounds and the codes of its errors.
 * @return the document, or an error that names line and column or the JSON pointer.
 */
Result<nlohmann::json> parseJson(const std::string &text, const JsonOptions &options);

/** @return true when @p text is 1 to 64 characters of a-z, 0-9, '-', '_' and '.'. */
bool isPlainName(const std::string &text);

/**
 * Reads a whole file.
 * @param path Path of the file.
 * @param code Code of the error when it cannot be read.
 * @return its content.
 */
Result<std::string> readFile(const std::string &path, ResultCode code);

} // namespace cornelwell
