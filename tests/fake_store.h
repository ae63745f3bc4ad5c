/** @file fake_store.h An object store in memory whose calls fail as a test asks. */
#pragma once

#include "store/object_store.h"

#include <deque>
#include <map>
#include <string>

namespace cornelwell {

/** What happens to a call. */
enum class StoreFault
{
    None,        ///< It works.
    NotExecuted, ///< The platform is not reached.
    Throttled,   ///< One call too many.
    Lost,        ///< It takes effect; its answer is lost.
    Vanished,    ///< It neither takes effect nor is answered.
};

/** Objects in memory; faults are taken from a list, one for each call. */
class FakeStore final : public ObjectStore
{
public:
    /** The next calls fail in this way, one after the other. */
    std::deque<StoreFault> faults;

    /** Calls so far. */
    unsigned calls = 0;

    Result<StoredObject> read(const std::string &name) override
    {
        const StoreFault fault = nextFault();
        if (fault != StoreFault::None)
            return errorOf(fault);
        const auto at = m_items.find(name);
        if (at == m_items.end())
            return fail(ResultCode::PlatformNotFound, name);
        return at->second;
    }

    Result<ObjectVersion> create(const std::string &name, const std::string &text) override
    {
        return put(name, text, 0);
    }

    Result<ObjectVersion> update(const std::string &name, const std::string &text,
                                 ObjectVersion version) override
    {
        return put(name, text, version);
    }

    Result<void> remove(const std::string &name, ObjectVersion version) override
    {
        const StoreFault fault = nextFault();
        if (fault != StoreFault::None && fault != StoreFault::Lost)
            return errorOf(fault);
        const auto at = m_items.find(name);
        if (at != m_items.end() && at->second.version != version)
            return fail(ResultCode::PlatformRefused, name);
        m_items.erase(name);
        if (fault == StoreFault::Lost)
            return errorOf(fault);
        return success();
    }

    Result<std::optional<StoredObject>> watch(const std::string &name, ObjectVersion version,
                                              Duration) override
    {
        const auto object = read(name);
        if (!object)
            return boost::outcome_v2::failure(object.error());
        if (object.value().version == version)
            return std::optional<StoredObject>();
        return std::optional<StoredObject>(object.value());
    }

    /** @return the object without a call, or version 0. */
    StoredObject peek(const std::string &name) const
    {
        const auto at = m_items.find(name);
        return at == m_items.end() ? StoredObject() : at->second;
    }

    /** Puts an object in place without a call. */
    void plant(const std::string &name, const std::string &text)
    {
        m_items[name] = {text, ++m_version};
    }

private:
    static auto errorOf(StoreFault fault) -> decltype(fail(ResultCode::Ok, std::string()))
    {
        switch (fault) {
        case StoreFault::NotExecuted:
            return fail(ResultCode::PlatformNotExecuted, "not reached");
        case StoreFault::Throttled:
            return fail(ResultCode::PlatformThrottled, "too many");
        default:
            return fail(ResultCode::PlatformUnknown, "no answer");
        }
    }

    StoreFault nextFault()
    {
        calls++;
        if (faults.empty())
            return StoreFault::None;
        const StoreFault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    Result<ObjectVersion> put(const std::string &name, const std::string &text,
                              ObjectVersion expected)
    {
        const StoreFault fault = nextFault();
        if (fault != StoreFault::None && fault != StoreFault::Lost)
            return errorOf(fault);
        const ObjectVersion current = peek(name).version;
        if (current != expected)
            return fail(ResultCode::PlatformRefused, name);
        m_items[name] = {text, ++m_version};
        if (fault == StoreFault::Lost)
            return errorOf(fault);
        return m_version;
    }

    std::map<std::string, StoredObject> m_items;
    ObjectVersion m_version = 0;
};

} // namespace cornelwell
