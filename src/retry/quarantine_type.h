/** @file quarantine_type.h Crash reports and the options of the quarantine. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>

namespace cornelwell {

/** Report of a crash of a backend server and of the request that may have caused it. */
struct CrashReport
{
    std::uint64_t fingerprint = 0; ///< Hash of the request.
    ServerId server;               ///< Daemon whose backend server crashed.
    std::uint64_t sequence = 0;    ///< Distinguishes the crashes that one daemon reports.
    EntryName entry;               ///< Catalogue entry or route of the request.
    Duration age;                  ///< Time since the crash when the report is sent.
};

/** Bounds of the quarantine. */
struct QuarantineOptions
{
    unsigned crashThreshold = 2;            ///< Crashes after which a request is refused.
    Duration reportLifetime = seconds(600); ///< Older reports do not count.
    std::size_t reportsMax = 1000;          ///< Reports kept; further ones are dropped.
    /** Reports that a connecting peer gets; after a restart it gets some from each of its peers. */
    std::size_t reportsPerPeer = 32;
};

} // namespace cornelwell
