/** @file result_code_func.h Look-up in the table of result codes. */
#pragma once

#include "base/result_code_type.h"

#include <cstddef>
#include <string>

namespace cornelwell {

/** One row of the table of result codes. */
struct ResultCodeInfo
{
    ResultCode code;    ///< The number.
    const char *name;   ///< Its name, as in logs and headers.
    const char *cause;  ///< What it means.
    const char *remedy; ///< What the reader can do.
    int httpStatus;     ///< Status that a caller sees; 0 when it never reaches one.
    int exitCode;       ///< Exit code of a command that ends with it.
};

/** @return the row of @p code. */
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/** @return the number of rows. */
std::size_t resultCodeCount();

/** @return the row at @p index, in order of number. */
const ResultCodeInfo &resultCodeAt(std::size_t index);

/** @return the number of @p code. */
constexpr int resultCodeNumber(ResultCode code)
{
    return static_cast<int>(code);
}

/** @return the table as the Markdown page docs/ERRORS.md. */
std::string resultCodesMarkdown();

} // namespace cornelwell
