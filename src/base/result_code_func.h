/** @file result_code_func.h Lookup in the table of result codes. */
#pragma once

#include "base/result_code_type.h"

#include <cstddef>
#include <string>

namespace cornelwell {

/** One row of the table of result codes. */
struct ResultCodeInfo
{
    ResultCode code;    ///< The code.
    const char *name;   ///< Name, as in logs and answers.
    const char *cause;  ///< What the code means.
    const char *remedy; ///< What the operator or caller can do.
    int httpStatus;     ///< HTTP status of the answer; 0 when no caller gets the code.
    int exitCode;       ///< Exit status of a command that fails with the code.
};

/** @return the row of @p code; the row of Ok when the table has none. */
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/** @return the number of rows. */
std::size_t resultCodeCount();

/** @return the row at @p index; rows are sorted by number. */
const ResultCodeInfo &resultCodeAt(std::size_t index);

/** @return the number of @p code. */
constexpr int resultCodeNumber(ResultCode code)
{
    return static_cast<int>(code);
}

/** @return the Markdown page docs/ERRORS.md. */
std::string resultCodesMarkdown();

} // namespace cornelwell
