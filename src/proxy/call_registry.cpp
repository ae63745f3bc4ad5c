/** @file call_registry.cpp Table of calls in progress. */
#include "proxy/call_registry.h"

namespace cornelwell {

void CallRegistry::add(const std::string &token, CallContext context)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_calls[token] = std::move(context);
}

void CallRegistry::remove(const std::string &token)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_calls.erase(token);
}

std::optional<CallContext> CallRegistry::find(const std::string &token) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto at = m_calls.find(token);
    if (at == m_calls.end())
        return std::nullopt;
    return at->second;
}

std::size_t CallRegistry::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_calls.size();
}

} // namespace cornelwell
