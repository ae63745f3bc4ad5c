/** @file call_registry.h Calls that the backend server on this VM runs now, so that its own calls
 * inherit from them. */
#pragma once

#include "proxy/call_type.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace cornelwell {

/** Contexts of calls in progress by the token that the backend server was given. Safe for threads.
 */
class CallRegistry
{
public:
    /** Adds a call. */
    void add(const std::string &token, CallContext context);

    /** Removes a call. */
    void remove(const std::string &token);

    /** @return the context of a call in progress, or nothing. */
    std::optional<CallContext> find(const std::string &token) const;

    /** @return calls in progress. */
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, CallContext> m_calls;
};

} // namespace cornelwell
