/** @file object_store.h What the system asks of the platform's object API. */
#pragma once

#include "base/clock_type.h"
#include "base/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelwell {

/** Version of one object; grows with each write of it. */
using ObjectVersion = std::uint64_t;

/** An object as it was read. */
struct StoredObject
{
    std::string text;          ///< Its content.
    ObjectVersion version = 0; ///< Its version.
};

/**
 * The platform's object API. Errors tell apart: PlatformNotExecuted and PlatformThrottled (nothing
 * was done), PlatformRefused (a condition does not hold; nothing was done), PlatformUnknown (it may
 * have taken effect), PlatformNotFound, PlatformProtocol.
 */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** @return the object of this name. */
    virtual Result<StoredObject> read(const std::string &name) = 0;

    /** Creates an object if there is none of this name. @return its version. */
    virtual Result<ObjectVersion> create(const std::string &name, const std::string &text) = 0;

    /** Replaces an object if it still has this version. @return its next version. */
    virtual Result<ObjectVersion> update(const std::string &name, const std::string &text,
                                         ObjectVersion version)
        = 0;

    /** Removes an object if it still has this version; one that is gone already is no error. */
    virtual Result<void> remove(const std::string &name, ObjectVersion version) = 0;

    /**
     * Waits for an object to change.
     * @param name Its name.
     * @param version Version already held; 0 when none is.
     * @param wait Longest wait.
     * @return the object when it has another version, nothing when it did not change.
     */
    virtual Result<std::optional<StoredObject>> watch(const std::string &name,
                                                      ObjectVersion version, Duration wait)
        = 0;
};

} // namespace cornelwell
