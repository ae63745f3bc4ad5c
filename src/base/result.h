/** @file result.h Result type that holds a value or an error. */
#pragma once

#include "base/result_code_type.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace cornelwell {

/** Description of an error. */
struct Error
{
    ResultCode code = ResultCode::Ok; ///< Numbered cause.
    std::string detail;               ///< Human-readable description.
    std::string where;                ///< JSON pointer, line, file or address; may be empty.
};

/** A value or an error. */
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/** @return a failure that converts to any Result. */
inline auto fail(ResultCode code, std::string detail, std::string where = {})
{
    return boost::outcome_v2::failure(Error{code, std::move(detail), std::move(where)});
}

/** @return a success without a value, for Result<void>. */
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace cornelwell
