/** @file configuration_test.cpp Versions: references, routes, order of changes, objects of the
 * platform. */
#include "catalogue/configuration.h"
#include "catalogue/head_func.h"
#include "sample_entries.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

Change numbered(Revision revision, ChangeKind kind, const Entry &entry, Revision base = 0)
{
    Change change = sampleChange(kind, entry, base, "change-" + std::to_string(revision));
    change.revision = revision;
    return change;
}

} // namespace

TEST_CASE("requests find their entry by method and segments", "[catalogue]")
{
    const auto version
        = Configuration::empty()
              ->after({numbered(1, ChangeKind::Propose, sampleEntry("lots")),
                       numbered(2, ChangeKind::Propose, sampleCommitment("commitments"))})
              .value();
    CHECK(version->match("GET", "/lots/7")->entry.name.text() == "lots");
    CHECK(version->match("GET", "/lots/7/8") == nullptr);
    CHECK(version->match("GET", "/lots/") == nullptr);
    CHECK(version->match("POST", "/commitments")->entry.name.text() == "commitments");
    CHECK(version->match("GET", "/commitments") == nullptr);
    CHECK(version->match("GET", "") == nullptr);
}

TEST_CASE("a version with a dangling or ambiguous reference is refused whole", "[catalogue]")
{
    Entry needy = sampleEntry("needy");
    needy.resources = {ResourceName("lots")};
    CHECK(Configuration::empty()->after({numbered(1, ChangeKind::Propose, needy)}).error().code
          == ResultCode::EntryDanglingResource);
    Entry behalf = sampleEntry("behalf");
    behalf.onBehalfOf = {ServiceName("intake")};
    CHECK(Configuration::empty()->after({numbered(1, ChangeKind::Propose, behalf)}).error().code
          == ResultCode::EntryDanglingService);
    Entry same = sampleEntry("other");
    same.path = "/*/7";
    CHECK(Configuration::empty()
              ->after({numbered(1, ChangeKind::Propose, sampleEntry("lots")),
                       numbered(2, ChangeKind::Propose, same)})
              .error()
              .code
          == ResultCode::EntryAmbiguousRoute);
    Entry provider = sampleEntry("provider");
    provider.provides = {ResourceName("lots")};
    const auto both = Configuration::empty()
                          ->after({numbered(1, ChangeKind::Propose, provider),
                                   numbered(2, ChangeKind::Propose, needy)})
                          .value();
    CHECK(both->after({numbered(3, ChangeKind::Retire, provider, 1)}).error().code
          == ResultCode::EntryDanglingResource);
    CHECK(both->revision() == 2);
}

TEST_CASE("changes follow without gaps, and a stale base is a conflict that names the winner",
          "[catalogue]")
{
    const auto one = Configuration::empty()
                         ->after({numbered(1, ChangeKind::Propose, sampleEntry("lots"))})
                         .value();
    CHECK(one->after({numbered(3, ChangeKind::Retire, sampleEntry("lots"), 1)}).error().code
          == ResultCode::VersionGap);
    CHECK(one->after({numbered(1, ChangeKind::Propose, sampleEntry("lots"))}).value()->revision()
          == 1);
    const auto two = one->after({numbered(2, ChangeKind::Amend, sampleEntry("lots"), 1)}).value();
    const auto lost = two->after({numbered(3, ChangeKind::Amend, sampleEntry("lots"), 1)});
    CHECK(lost.error().code == ResultCode::EntryConflict);
    CHECK(lost.error().detail.find("version 2") != std::string::npos);
    CHECK(two->digest() != one->digest());
}

TEST_CASE("the head is compacted into a snapshot that rebuilds the same version", "[catalogue]")
{
    CatalogueHead head;
    ConfigurationPtr current = Configuration::empty();
    std::vector<SnapshotChunk> chunks;
    for (int i = 0; i < 150; i++) {
        Change change
            = sampleChange(ChangeKind::Propose, sampleEntry("entry-" + std::to_string(i)));
        PreparedChange prepared = prepareChange(head, *current, change).value();
        if (!prepared.chunks.empty())
            chunks = prepared.chunks;
        head = decodeHead(encodeHead(prepared.head)).value();
        current = prepared.configuration;
        CHECK(head.changes.size() <= 64);
    }
    REQUIRE_FALSE(chunks.empty());
    std::vector<std::string> texts;
    for (const SnapshotChunk &chunk : chunks)
        texts.push_back(chunk.text);
    const auto rebuilt
        = decodeSnapshot(head.snapshotRevision, texts).value()->after(head.changes).value();
    CHECK(rebuilt->digest() == current->digest());
}

TEST_CASE("a head that was cut, reordered or of another format is refused", "[catalogue]")
{
    CatalogueHead head;
    head.revision = 2;
    head.changes = {numbered(1, ChangeKind::Propose, sampleEntry("a")),
                    numbered(2, ChangeKind::Propose, sampleEntry("b"))};
    const std::string text = encodeHead(head);
    CHECK(decodeHead(text).has_value());
    for (std::size_t cut = 0; cut < text.size(); cut += 7)
        CHECK_FALSE(decodeHead(text.substr(0, cut)).has_value());
    std::swap(head.changes[0], head.changes[1]);
    CHECK_FALSE(decodeHead(encodeHead(head)).has_value());
    head.changes.erase(head.changes.begin(), head.changes.begin() + 1);
    head.changes[0].revision = 2;
    CHECK_FALSE(decodeHead(encodeHead(head)).has_value());
    CHECK_FALSE(decodeHead(R"({"format":9})").has_value());
}
