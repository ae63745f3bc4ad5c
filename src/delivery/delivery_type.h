/** @file delivery_type.h Keys of requests that may run at most once. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"
#include "http/http_type.h"

#include <cstdint>
#include <string>

namespace cornelwell {

/** What this daemon knows of a key. */
enum class KeyState : std::uint8_t
{
    New,          ///< Never seen by this daemon.
    InProgress,   ///< Its request is under way here.
    Answered,     ///< Its request was run here; the answer is kept.
    Unknown,      ///< Its request may have run here; it is never run again.
    NotRun,       ///< Its request was not run here, and the claim is still this daemon's.
    OtherRequest, ///< The key came with another request before.
};

/** A key of a request, with the request's fingerprint. */
struct RequestKey
{
    std::string key;               ///< Unique for the service; from the caller's Idempotency-Key.
    std::uint64_t fingerprint = 0; ///< Hash of method, path, query and body.
};

/** What is kept of a key. */
struct KeyRecord
{
    KeyState state = KeyState::New; ///< What is known.
    HttpResponse answer;            ///< The first answer, when there is one.
};

/** A claim of a key, as it stands on the platform: who may run its request. */
struct Claim
{
    std::string key;               ///< The key.
    std::uint64_t fingerprint = 0; ///< Fingerprint of the request.
    ServerId server;               ///< Server that may run it.
    std::uint64_t incarnation = 0; ///< Incarnation of its daemon.
    Endpoint relay;                ///< Where to ask it.
    std::string attempt;           ///< Unique for each try to claim; tells one's own claim.
};

/** Sizes of the ledger. */
struct LedgerOptions
{
    Duration keep = seconds(900);           ///< Answers are kept for this long.
    std::size_t recordsMax = 20000;         ///< Keys kept at most.
    std::size_t bytesMax = 8 * 1024 * 1024; ///< Bytes of answers kept at most.
};

} // namespace cornelwell
