/** @file entry_type.h Catalogue entries and the changes of them. */
#pragma once

#include "base/clock_type.h"
#include "base/identifier_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelwell {

/** Class of a request; decides its share of a busy server. */
enum class RequestClass : std::uint8_t
{
    Background,  ///< May wait.
    Normal,      ///< Ordinary.
    Interactive, ///< Somebody waits for the answer.
    Critical,    ///< Harm is done when it fails.
    Count,       ///< Number of classes; not a class.
};

constexpr std::size_t REQUEST_CLASS_COUNT = static_cast<std::size_t>(RequestClass::Count);

/** @return the name of the class, as in entries. */
const char *requestClassName(RequestClass requestClass);

/** @return the share of a busy server that the class has, relative to the others. */
unsigned requestClassWeight(RequestClass requestClass);

/** Limits that the members voted, over the whole fleet. */
struct VotedLimits
{
    std::uint32_t ratePerSecond = 0; ///< Requests started in a second; 0 for no limit.
    std::uint32_t concurrency = 0;   ///< Requests running at once; 0 for no limit.
    std::uint32_t servers = 0;       ///< Numbered servers among which both are split.
};

/** One kind of request and all that was voted about it. */
struct Entry
{
    EntryName name;                                   ///< Its name.
    std::string owner;                                ///< Who answers for it.
    ServiceName service;                              ///< Service that runs it.
    std::string method;                               ///< HTTP method.
    std::string path;                                 ///< Path pattern; `*` stands for one segment.
    RequestClass requestClass = RequestClass::Normal; ///< Class.
    Duration patience;                                ///< How long its callers wait.
    VotedLimits limits;                               ///< Voted limits.
    bool idempotent = false;                          ///< True when a repeat does no harm.
    std::vector<ServiceName> onBehalfOf; ///< Services that may call it; empty for everybody.
    std::vector<ResourceName> provides;  ///< Resources that it brings.
    std::vector<ResourceName> resources; ///< Resources that it needs.
};

/** What a change does. */
enum class ChangeKind : std::uint8_t
{
    Propose, ///< Adds an entry.
    Amend,   ///< Replaces an entry.
    Retire,  ///< Removes an entry.
    Count,   ///< Number of kinds; not a kind.
};

/** @return the name of the kind, as in the catalogue. */
const char *changeKindName(ChangeKind kind);

/** One accepted change. */
struct Change
{
    Revision revision = 0; ///< Version that it makes.
    std::string id;        ///< Unique, made by the writer; finds the change after a lost answer.
    ChangeKind kind = ChangeKind::Propose; ///< What it does.
    Entry entry;                           ///< The entry; for a retirement only its name.
    Revision base = 0;    ///< Version of the entry that the operator saw; 0 for a proposal.
    std::string author;   ///< Operator.
    std::string vote;     ///< Reference of the members' vote.
    TimePoint acceptedAt; ///< Time of day.
};

/** An entry with its history's last step. */
struct EntryInForce
{
    Entry entry;           ///< The entry.
    Revision revision = 0; ///< Version that last changed it.
    std::string author;    ///< Who changed it.
    std::string vote;      ///< Reference of the vote.
};

} // namespace cornelwell
