/** @file result_code_type.h The numbered result codes; their texts are in table/result_codes.h. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** Outcomes that the system reports by number. The number of a removed code is never reused. */
enum class ResultCode : std::uint16_t
{
    Ok = 0,

    SettingsUnreadable = 100,       ///< The settings file cannot be read.
    SettingsSyntax = 101,           ///< The settings are not JSON with comments.
    SettingsUnknownKey = 102,       ///< The schema has no such key.
    SettingsWrongType = 103,        ///< The value has another type than in the schema.
    SettingsOutOfRange = 104,       ///< A number is outside its range.
    SettingsMissingKey = 105,       ///< A required key is absent.
    SettingsDuplicateKey = 106,     ///< A key appears twice in one object.
    SettingsDuplicateAddress = 107, ///< Two listeners share an address and port.
    SettingsNameInvalid = 108,      ///< A name contains forbidden characters.
    AddressInvalid = 109,           ///< The text is not an IP address, or not IP:PORT.

    EntrySyntax = 200,            ///< The entry document is not JSON.
    EntryUnknownKey = 201,        ///< Entries have no such key.
    EntryMissingKey = 202,        ///< A required key is absent.
    EntryWrongType = 203,         ///< A value has the wrong type.
    EntryOutOfRange = 204,        ///< A number is outside its range.
    EntryNameInvalid = 205,       ///< A name contains forbidden characters.
    EntryPatternInvalid = 206,    ///< The request pattern is invalid.
    EntryExists = 207,            ///< The proposed name belongs to an entry in force.
    EntryUnknown = 208,           ///< The entry to amend or retire does not exist.
    EntryConflict = 209,          ///< Another change of the same entry was written first.
    EntryAmbiguousRoute = 210,    ///< Two entries match the same requests.
    EntryDanglingService = 211,   ///< The entry refers to a service that does not exist.
    EntryDanglingResource = 212,  ///< The entry needs a resource that no entry provides.
    EntryDuplicateResource = 213, ///< Two entries provide the same resource.
    CatalogueFull = 214,          ///< The configuration would exceed its size limit.
    CatalogueFormat = 215,        ///< An object of the catalogue cannot be parsed.
    VersionGap = 216,             ///< Changes do not start from the version in force.
    VersionOlder = 217,           ///< The version is older than the one in force.
    RouteInvalid = 218,           ///< The document of routes is invalid.
    RouteDanglingService = 219,   ///< A route refers to a service that its version lacks.
    RouteTenantInvalid = 220,     ///< A tenant of the version is invalid.
    RolloutInvalid = 221,         ///< An order of a roll-out is not understood.

    PlatformNotExecuted = 300, ///< The platform was not reached; nothing was done.
    PlatformUnknown = 301,     ///< The answer was lost; the call may have taken effect.
    PlatformRefused = 302,     ///< A precondition of the call does not hold.
    PlatformThrottled = 303,   ///< The platform rejected one call too many; nothing was done.
    PlatformNotFound = 304,    ///< The object does not exist.
    PlatformProtocol = 305,    ///< The platform's answer cannot be parsed.
    PlatformHistoryGone = 306, ///< The history since the revision is deleted.

    PeerMalformed = 400,   ///< A message cannot be decoded.
    PeerVersion = 401,     ///< The daemons have no message format in common.
    PeerTooLarge = 402,    ///< A message exceeds the size limit.
    PeerTooFast = 403,     ///< The peer exceeds the message rate limit.
    PeerSilent = 404,      ///< No message came within the timeout.
    PeerMismatch = 405,    ///< The peer has another identity than expected.
    PeerLinksFull = 406,   ///< The limit of links is reached.
    PeerClosed = 407,      ///< The peer closed the link.
    PeerUnreachable = 408, ///< The link could not be opened.

    CallUnknownKind = 500,         ///< No entry matches the request.
    CallNoServer = 501,            ///< No server of the service is known or reachable.
    CallOverloaded = 502,          ///< The server's queue is full.
    CallDeadline = 503,            ///< The deadline cannot be met.
    CallLimitReached = 504,        ///< The voted rate limit is used up.
    CallNotOnBehalf = 505,         ///< The caller's service is not allowed to make this call.
    CallBadRequest = 506,          ///< The request cannot be parsed.
    CallTooLarge = 507,            ///< The request's body is too large.
    CallDraining = 508,            ///< The server is draining.
    CallNoConfiguration = 509,     ///< The daemon has no configuration yet.
    CallServerFailed = 510,        ///< The server failed; an idempotent call may have run.
    CallOutcomeUnknown = 511,      ///< A call that is not idempotent may have run.
    CallKeyRequired = 512,         ///< A call that is not idempotent lacks an Idempotency-Key.
    CallInProgress = 513,          ///< A call with the same key is still running.
    CallKeyReused = 514,           ///< The key was used with a different request.
    CallQuarantined = 515,         ///< Equal requests crashed servers.
    CallClaimUnavailable = 516,    ///< The key could not be claimed; the call was not run.
    CallCancelled = 517,           ///< The caller closed its connection.
    ServerAdvisoryMalformed = 518, ///< A server names a limit that is no number.
    CallCredentialUnknown = 519,   ///< The request has no key of a tenant.
    CallUnconfirmed = 520,         ///< The daemon cannot decide whether the key is valid.
    CallQuotaExceeded = 521,       ///< The tenant's quota is used up.

    UsageError = 900,        ///< The command line is invalid.
    DaemonUnreachable = 901, ///< The daemon's admin address does not answer.
    NotInForce = 902,        ///< The change is accepted but not yet in force everywhere.
    ListenFailed = 903,      ///< The daemon cannot listen on an address.
    FileUnreadable = 904,    ///< A file cannot be read or written.
};

} // namespace cornelwell
