/** @file result.h Errors as values: a numbered code, what happened, and where. */
#pragma once

#include "base/result_code_type.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace cornelwell {

/** What went wrong. */
struct Error
{
    ResultCode code = ResultCode::Ok; ///< The numbered cause.
    std::string detail;               ///< What happened, for a person.
    std::string where;                ///< JSON pointer, file or address; may be empty.
};

/** A value or an error. */
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

/** @return a failed result, to be returned from any function that gives a Result. */
inline auto fail(ResultCode code, std::string detail, std::string where = {})
{
    return boost::outcome_v2::failure(Error{code, std::move(detail), std::move(where)});
}

/** @return a successful result that carries nothing. */
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace cornelwell
