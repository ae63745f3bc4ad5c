/** @file sample_entries.h Entries and changes that tests begin with. */
#pragma once

#include "catalogue/configuration.h"
#include "catalogue/entry_type.h"

#include <string>

namespace cornelwell {

/** @return an idempotent look-up with its own path. */
inline Entry sampleEntry(const std::string &name)
{
    Entry entry;
    entry.name = EntryName(name);
    entry.owner = "desk";
    entry.service = ServiceName("order-desk");
    entry.method = "GET";
    entry.path = "/" + name + "/*";
    entry.requestClass = RequestClass::Normal;
    entry.patience = seconds(2);
    entry.idempotent = true;
    return entry;
}

/** @return a request that may run at most once. */
inline Entry sampleCommitment(const std::string &name)
{
    Entry entry = sampleEntry(name);
    entry.method = "POST";
    entry.path = "/" + name;
    entry.requestClass = RequestClass::Critical;
    entry.idempotent = false;
    return entry;
}

/** @return a change; its revision is left to the writer. */
inline Change sampleChange(ChangeKind kind, const Entry &entry, Revision base = 0,
                           const std::string &id = {})
{
    Change change;
    change.id = id.empty() ? entry.name.text() + "-" + std::to_string(base) : id;
    change.kind = kind;
    change.entry = entry;
    change.base = base;
    change.author = "awa";
    change.vote = "vote-1";
    return change;
}

} // namespace cornelwell
