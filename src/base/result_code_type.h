/** @file result_code_type.h The numbered result codes; their texts are in table/result_codes.h. */
#pragma once

#include <cstdint>

namespace cornelwell {

/** Every outcome that the system reports by number. Numbers are never used again. */
enum class ResultCode : std::uint16_t
{
    Ok = 0,

    SettingsUnreadable = 100,       ///< The settings file cannot be read.
    SettingsSyntax = 101,           ///< The settings are not JSON with comments.
    SettingsUnknownKey = 102,       ///< A key that the schema does not have.
    SettingsWrongType = 103,        ///< A value of another type than the schema's.
    SettingsOutOfRange = 104,       ///< A number outside its range.
    SettingsMissingKey = 105,       ///< A required key is absent.
    SettingsDuplicateKey = 106,     ///< A key stands twice in one object.
    SettingsDuplicateAddress = 107, ///< Two listeners share an address and port.
    SettingsNameInvalid = 108,      ///< A name with characters that names may not have.
    AddressInvalid = 109,           ///< Not an IP number, or not IP:PORT.

    EntrySyntax = 200,            ///< The entry document is not JSON.
    EntryUnknownKey = 201,        ///< A key that entries do not have.
    EntryMissingKey = 202,        ///< A required key is absent.
    EntryWrongType = 203,         ///< A value of the wrong type.
    EntryOutOfRange = 204,        ///< A number outside its range.
    EntryNameInvalid = 205,       ///< A name with characters that names may not have.
    EntryPatternInvalid = 206,    ///< The request pattern cannot be used.
    EntryExists = 207,            ///< Proposed, but an entry of this name is in force.
    EntryUnknown = 208,           ///< Amended or retired, but no such entry.
    EntryConflict = 209,          ///< Another change of the same entry won the race.
    EntryAmbiguousRoute = 210,    ///< Two entries match the same requests.
    EntryDanglingService = 211,   ///< Names a service that no entry has.
    EntryDanglingResource = 212,  ///< Needs a resource that no entry provides.
    EntryDuplicateResource = 213, ///< Two entries provide one resource.
    CatalogueFull = 214,          ///< The configuration would exceed its size.
    CatalogueFormat = 215,        ///< An object of the catalogue cannot be read.
    VersionGap = 216,             ///< Changes do not follow on the version held.
    VersionOlder = 217,           ///< An older version than the one in force.
    RouteInvalid = 218,           ///< A document of routes with a fault.
    RouteDanglingService = 219,   ///< A route names a service that its version lacks.

    PlatformNotExecuted = 300, ///< The platform's service was not reached; nothing was done.
    PlatformUnknown = 301,     ///< The answer was lost; the call may have taken effect.
    PlatformRefused = 302,     ///< A condition of the call does not hold.
    PlatformThrottled = 303,   ///< Too many calls; nothing was done.
    PlatformNotFound = 304,    ///< No such object.
    PlatformProtocol = 305,    ///< An answer that cannot be understood.
    PlatformHistoryGone = 306, ///< Changes since the revision are not kept any more.

    PeerMalformed = 400,   ///< A message that cannot be decoded.
    PeerVersion = 401,     ///< No message format version in common.
    PeerTooLarge = 402,    ///< A message over the size limit.
    PeerTooFast = 403,     ///< More messages than the rate limit.
    PeerSilent = 404,      ///< No message within the timeout.
    PeerMismatch = 405,    ///< The peer is not who it was expected to be.
    PeerLinksFull = 406,   ///< No room for another link.
    PeerClosed = 407,      ///< The other side closed the link.
    PeerUnreachable = 408, ///< The link could not be opened.

    CallUnknownKind = 500,      ///< No entry matches the request.
    CallNoServer = 501,         ///< No server of the service is known or reachable.
    CallOverloaded = 502,       ///< The queue is full.
    CallDeadline = 503,         ///< The deadline cannot be met.
    CallLimitReached = 504,     ///< The voted limit is used up.
    CallNotOnBehalf = 505,      ///< The caller's service may not make this call.
    CallBadRequest = 506,       ///< The request cannot be understood.
    CallTooLarge = 507,         ///< The request's body is too large.
    CallDraining = 508,         ///< The server is leaving.
    CallNoConfiguration = 509,  ///< The daemon has no configuration yet.
    CallServerFailed = 510,     ///< The server failed; an idempotent call may have run.
    CallOutcomeUnknown = 511,   ///< A call that may not be repeated may have run.
    CallKeyRequired = 512,      ///< A call that may not be repeated carries no Idempotency-Key.
    CallInProgress = 513,       ///< The first call with this key still runs.
    CallKeyReused = 514,        ///< The key was used with another request.
    CallQuarantined = 515,      ///< Requests like this one crashed servers.
    CallClaimUnavailable = 516, ///< The key could not be claimed; nothing was run.
    CallCancelled = 517,        ///< The caller went away.

    UsageError = 900,        ///< The command line cannot be understood.
    DaemonUnreachable = 901, ///< The daemon's admin address does not answer.
    NotInForce = 902,        ///< The change is accepted but not yet in force everywhere.
    ListenFailed = 903,      ///< An address cannot be listened on.
    FileUnreadable = 904,    ///< A file cannot be read or written.
};

} // namespace cornelwell
