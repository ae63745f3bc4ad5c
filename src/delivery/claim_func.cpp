/** @file claim_func.cpp Create-if-absent decides who may run a keyed request. */
#include "delivery/claim_func.h"

#include "base/endpoint_func.h"
#include "base/hash_func.h"
#include "base/json_func.h"

#include <nlohmann/json.hpp>

namespace cornelwell {

namespace {

constexpr int CLAIM_FORMAT = 1; ///< Format of the object.

ClaimResult unavailable(const Error &error)
{
    ClaimResult result;
    result.error = error;
    return result;
}

/** Reads a claim that somebody made: oneself, if the answer was lost, or another. */
ClaimResult readBack(ObjectStore &store, const std::string &object, const Claim &claim,
                     const Error &first)
{
    const auto read = store.read(object);
    if (!read)
        return unavailable(first);
    const auto holder = decodeClaim(read.value().text);
    if (!holder)
        return unavailable(holder.error());
    ClaimResult result;
    result.holder = holder.value();
    result.version = read.value().version;
    result.verdict
        = holder.value().attempt == claim.attempt ? ClaimVerdict::Mine : ClaimVerdict::Other;
    return result;
}

} // namespace

std::string claimObject(const ServiceName &service, const std::string &key)
{
    return "claims/" + service.text() + "/" + hex64(hash64(key)) + hex64(hash64(key, 1));
}

std::string encodeClaim(const Claim &claim)
{
    return nlohmann::json{
        {"format", CLAIM_FORMAT},           {"key", claim.key},
        {"fingerprint", claim.fingerprint}, {"server", claim.server.text()},
        {"incarnation", claim.incarnation}, {"relay", formatEndpoint(claim.relay)},
        {"attempt", claim.attempt}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<Claim> decodeClaim(const std::string &text)
{
    BOOST_OUTCOME_TRY(object, parseJson(text, JsonOptions()));
    try {
        if (object.at("format").get<int>() != CLAIM_FORMAT)
            return fail(ResultCode::CatalogueFormat, "a claim of another format");
        Claim claim;
        claim.key = object.at("key").get<std::string>();
        claim.fingerprint = object.at("fingerprint").get<std::uint64_t>();
        claim.server = ServerId(object.at("server").get<std::string>());
        claim.incarnation = object.at("incarnation").get<std::uint64_t>();
        BOOST_OUTCOME_TRY(relay, parseEndpoint(object.at("relay").get<std::string>()));
        claim.relay = relay;
        claim.attempt = object.at("attempt").get<std::string>();
        return claim;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::CatalogueFormat, error.what());
    }
}

ClaimResult claimKey(ObjectStore &store, const std::string &object, const Claim &claim)
{
    const auto created = store.create(object, encodeClaim(claim));
    if (created) {
        ClaimResult result;
        result.verdict = ClaimVerdict::Mine;
        result.holder = claim;
        result.version = created.value();
        return result;
    }
    const ResultCode code = created.error().code;
    if (code == ResultCode::PlatformRefused || code == ResultCode::PlatformUnknown)
        return readBack(store, object, claim, created.error());
    return unavailable(created.error());
}

} // namespace cornelwell
