/** @file claim_func.h Claims of keys on the platform. */
#pragma once

#include "base/result.h"
#include "delivery/delivery_type.h"
#include "store/object_store.h"

#include <string>

namespace cornelwell {

/** How a try to claim a key ended. */
enum class ClaimVerdict : std::uint8_t
{
    Mine,        ///< This daemon, and no other, may run the request.
    Other,       ///< Another daemon has the claim.
    Unavailable, ///< The platform did not answer; nothing may be run.
};

/** The result of a try to claim a key. */
struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable; ///< How it ended.
    Claim holder;                                     ///< Who has it, when another has.
    ObjectVersion version = 0;                        ///< Version of the claim, when it is mine.
    Error error;                                      ///< Why it is unavailable.
};

/** @return name of the claim's object. */
std::string claimObject(const ServiceName &service, const std::string &key);

/** @return the claim as the object's text. */
std::string encodeClaim(const Claim &claim);

/** @return the claim of an object's text. */
Result<Claim> decodeClaim(const std::string &text);

/**
 * Claims a key. After a lost answer the claim is read back, and is this daemon's only if it is
 * found.
 * @param store The platform.
 * @param object Name of the claim's object.
 * @param claim The claim; its attempt must be unique.
 */
ClaimResult claimKey(ObjectStore &store, const std::string &object, const Claim &claim);

} // namespace cornelwell
