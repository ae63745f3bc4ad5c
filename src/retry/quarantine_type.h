/** @file quarantine_type.h Reports of requests that crashed a backend server. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>

namespace cornelwell {

/** One crash: which request, where. Each is told to all daemons once. */
struct CrashReport
{
    std::uint64_t fingerprint = 0; ///< Hash of the request.
    ServerId server;               ///< Server that crashed.
    std::uint64_t sequence = 0;    ///< Distinguishes the crashes that one daemon reports.
    EntryName entry;               ///< Entry of the request.
    Duration age;                  ///< Time since the crash, when it is told.
};

/** Bounds of the quarantine. */
struct QuarantineOptions
{
    unsigned crashThreshold = 2;            ///< Crashes after which a request is refused.
    Duration reportLifetime = seconds(600); ///< Reports older than this count no more.
    std::size_t reportsMax = 1000;          ///< Reports kept.
};

} // namespace cornelwell
