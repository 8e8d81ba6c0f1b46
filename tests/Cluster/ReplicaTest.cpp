#include <boost/test/unit_test.hpp>

#include "tests/Cluster/Samples.h"

using namespace snipepost;
using namespace snipepost::cluster;

BOOST_AUTO_TEST_SUITE(ReplicaTest)

// A stale read or a lagging peer must never restore an older configuration.
BOOST_AUTO_TEST_CASE(OlderConfigurationIsNeverApplied)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Routes,
                        { Revision(9), { Present("main", 9, "30") } });
  replica.ApplyChanges(Part::Routes, { Present("main", 8, "20") }, Revision(9));
  BOOST_TEST(replica.Routes()->mVersion.Value() == 30U);
  replica.ApplyChanges(
    Part::Routes, { Present("main", 10, "29") }, Revision(10));
  BOOST_TEST(replica.Routes()->mVersion.Value() == 30U);
  BOOST_TEST(!replica.ApplySnapshot(
    Part::Routes, { Revision(5), { Present("main", 5, "10") } }));
  BOOST_TEST(replica.Routes()->mVersion.Value() == 30U);
}

BOOST_AUTO_TEST_CASE(UndecodableObjectsAreCountedAndSkipped)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Routes,
                        { Revision(1), { Present("main", 1, "3") } });
  replica.ApplyChanges(
    Part::Routes, { Present("main", 2, "bad") }, Revision(2));
  BOOST_TEST(replica.Routes()->mVersion.Value() == 3U);
  replica.ApplySnapshot(
    Part::Backends,
    { Revision(3), { RecordChange(1, 2), Present("other", 3, "{}") } });
  BOOST_TEST(replica.Backends().size() == 1U);
  BOOST_TEST(replica.UndecodableObjects() == 2U);
}

// Another program wrote a record with the address of an agent that has one: the
// agent must not be known twice.
BOOST_AUTO_TEST_CASE(RecordWithTheNameOfAnotherAgentIsNotUsed)
{
  Replica replica(&DecodeSampleConfig);
  ObjectChange copy = RecordChange(1, 3);
  copy.mName = "copy";
  replica.ApplySnapshot(Part::Backends,
                        { Revision(3), { RecordChange(1, 2), copy } });
  BOOST_TEST(replica.Backends().size() == 1U);
  BOOST_TEST(!replica.Backends().contains("copy"));
}

BOOST_AUTO_TEST_CASE(SnapshotRemovesMissingObjects)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(
    Part::Backends,
    { Revision(3), { RecordChange(1, 2), RecordChange(2, 3) } });
  replica.ApplySnapshot(Part::Backends,
                        { Revision(7), { RecordChange(2, 3) } });
  BOOST_TEST(replica.Backends().size() == 1U);
  BOOST_TEST(replica.Backends().contains(RecordName({ 2, 8172 })));
}

BOOST_AUTO_TEST_CASE(EvacuationsAreAddedAndRemoved)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Evacuations, { Revision(1), {} });
  replica.ApplyChanges(
    Part::Evacuations, { Present("a", 2, "{}") }, Revision(2));
  BOOST_TEST(replica.Evacuated("a"));
  replica.ApplyChanges(Part::Evacuations, { Removed("a", 3) }, Revision(3));
  BOOST_TEST(!replica.Evacuated("a"));
}

// Nodes compare content hashes to decide whether to fetch a part.
BOOST_AUTO_TEST_CASE(ContentHashesAreEqualAfterASnapshotWasFetched)
{
  Replica first(&DecodeSampleConfig);
  Replica second(&DecodeSampleConfig);
  first.ApplySnapshot(
    Part::Backends,
    { Revision(5), { RecordChange(1, 2), RecordChange(2, 4) } });
  BOOST_TEST(first.Version(Part::Backends).mContentHash !=
             second.Version(Part::Backends).mContentHash);
  const auto snapshot =
    Replica::DecodeSnapshot(first.EncodeSnapshot(Part::Backends));
  BOOST_REQUIRE(snapshot.has_value());
  second.ApplySnapshot(Part::Backends, *snapshot);
  BOOST_TEST((first.Version(Part::Backends) == second.Version(Part::Backends)));
}

BOOST_AUTO_TEST_CASE(MalformedSnapshotsAreRejected)
{
  for (const char* text : { "",
                            "[]",
                            R"({"revision":1})",
                            R"({"revision":"x","objects":[]})",
                            R"({"revision":1,"objects":[{"name":"a"}]})" }) {
    BOOST_TEST(!Replica::DecodeSnapshot(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(RecordsRoundTripAndMalformedOnesAreRejected)
{
  const BackendRecord record = SampleRecord(7);
  BOOST_TEST((DecodeRecord(EncodeRecord(record)) == record));
  for (const char* text : { "",
                            "7",
                            "{}",
                            R"({"service":"s","agent":"x","domain":"a",)"
                            R"("state":"ready","slots":1,"born":1})" }) {
    BOOST_TEST(!DecodeRecord(text).has_value());
  }
}

// Lookups of owners need the revision at which a record was created; nodes of
// the previous version do not send it.
BOOST_AUTO_TEST_CASE(SnapshotsContainTheRevisionOfCreation)
{
  Replica first(&DecodeSampleConfig);
  ObjectChange change = RecordChange(1, 8);
  change.mCreated = Revision(3);
  first.ApplySnapshot(Part::Backends, { Revision(8), { change } });
  const auto snapshot =
    Replica::DecodeSnapshot(first.EncodeSnapshot(Part::Backends));
  BOOST_REQUIRE(snapshot.has_value());
  Replica second(&DecodeSampleConfig);
  second.ApplySnapshot(Part::Backends, *snapshot);
  BOOST_TEST(second.RecordCreated(change.mName).Value() == 3U);
  const auto previous = Replica::DecodeSnapshot(
    R"({"revision":8,"objects":[{"name":"n","revision":8,"text":"{}"}]})");
  BOOST_REQUIRE(previous.has_value());
  BOOST_TEST(previous->mObjects[0].mCreated.Value() == 0U);
}

// A restart of all backend servers must not make all agents write their
// records: the store and every node would handle the changes while callers
// wait.
BOOST_AUTO_TEST_CASE(RecordDoesNotDependOnTheStartOfTheServer)
{
  const std::string text = EncodeRecord(SampleRecord(1));
  BOOST_TEST(text.find(R"("born":0)") != std::string::npos);
  BOOST_TEST(DecodeRecord(text).has_value());
}

// Guards against nodes that ignore what a restored store holds because they
// know higher revisions from before.
BOOST_AUTO_TEST_CASE(LaterEpochReplacesContentWithHigherRevisions)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Backends,
                        { Revision(15), { RecordChange(1, 15) }, Epoch(1) });
  BOOST_TEST(replica.ApplySnapshot(
    Part::Backends, { Revision(13), { RecordChange(2, 12) }, Epoch(2) }));
  BOOST_TEST(replica.Backends().contains(RecordName({ 2, 8172 })));
  BOOST_TEST((replica.Version(Part::Backends).At() == At(13, 2)));
  // A late response of the earlier epoch.
  BOOST_TEST(!replica.ApplySnapshot(
    Part::Backends, { Revision(16), { RecordChange(3, 16) }, Epoch(1) }));
  // A revision that is assigned again, to other content.
  replica.ApplyChanges(Part::Backends, { RecordChange(1, 15) }, Revision(15));
  BOOST_TEST(
    replica.FindObject(Part::Backends, RecordName({ 1, 8172 })).has_value());
}

// A configuration that the restored store lacks has been acknowledged, so it
// stays in force until the operator writes it, or a newer one.
BOOST_AUTO_TEST_CASE(ConfigurationInForceOutlastsARestore)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(
    Part::Routes, { Revision(15), { Present("main", 15, "12") }, Epoch(1) });
  replica.ApplySnapshot(
    Part::Routes, { Revision(13), { Present("main", 13, "5") }, Epoch(2) });
  BOOST_TEST(replica.Routes()->mVersion.Value() == 12U);
  replica.ApplyChanges(
    Part::Routes, { Present("main", 14, "12") }, Revision(14));
  replica.ApplyChanges(
    Part::Routes, { Present("main", 15, "15") }, Revision(15));
  BOOST_TEST(replica.Routes()->mVersion.Value() == 15U);
}

// Guards against traffic to an evacuated domain, and against servers that are
// lost to callers, until what the restored store lacks is written again.
BOOST_AUTO_TEST_CASE(EvacuationsAndRecordsThatARestoreLostAreRetained)
{
  Replica replica(&DecodeSampleConfig);
  const std::string server = RecordName({ 1, 8172 });
  replica.ApplySnapshot(Part::Evacuations,
                        { Revision(15), { Present("a", 15, "{}") }, Epoch(1) });
  replica.ApplySnapshot(Part::Backends,
                        { Revision(15), { RecordChange(1, 14) }, Epoch(1) });
  replica.ApplySnapshot(Part::Evacuations, { Revision(13), {}, Epoch(2) });
  replica.ApplySnapshot(Part::Backends, { Revision(13), {}, Epoch(2) });
  BOOST_TEST(replica.Evacuated("a"));
  BOOST_TEST(replica.EvacuatedDomains().size() == 1U);
  BOOST_TEST(replica.Backends().contains(server));
  // The agent must see that its record is not stored.
  BOOST_TEST(!replica.FindObject(Part::Backends, server).has_value());
  BOOST_TEST(replica.Retained(Part::Backends, server));

  const Instant now{ std::chrono::seconds(1) };
  replica.ExpireRetained(now);
  replica.ApplyChanges(
    Part::Evacuations, { Present("a", 14, "{}") }, Revision(14));
  replica.ExpireRetained(now + Replica::kRetention);
  BOOST_TEST(replica.Evacuated("a"));
  BOOST_TEST(!replica.Backends().contains(server));
}

// Guards against an evacuation, or a server, that outlasts its removal because
// it was retained.
BOOST_AUTO_TEST_CASE(RemovalEndsRetention)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Evacuations,
                        { Revision(15), { Present("a", 15, "{}") }, Epoch(1) });
  replica.ApplySnapshot(Part::Evacuations, { Revision(13), {}, Epoch(2) });
  replica.ApplyChanges(Part::Evacuations,
                       { Present("a", 14, "{}"), Removed("a", 15) },
                       Revision(15));
  BOOST_TEST(!replica.Evacuated("a"));
}

// Guards against two restores in a row: what the second one lacks was lost by
// the first.
BOOST_AUTO_TEST_CASE(RetentionContinuesAfterAnotherRestore)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Evacuations,
                        { Revision(15), { Present("a", 15, "{}") }, Epoch(1) });
  replica.ApplySnapshot(Part::Evacuations, { Revision(13), {}, Epoch(2) });
  const Instant now{ std::chrono::seconds(1) };
  replica.ExpireRetained(now);
  replica.ApplySnapshot(Part::Evacuations, { Revision(12), {}, Epoch(3) });
  replica.ExpireRetained(now + Replica::kRetention);
  BOOST_TEST(replica.Evacuated("a"));
  replica.ExpireRetained(now + 2 * Replica::kRetention);
  BOOST_TEST(!replica.Evacuated("a"));
}

// Guards against resets of running flows: after a restore, a running server's
// record is created again, at a revision that proves nothing about its age.
BOOST_AUTO_TEST_CASE(RecordsCreatedBeforeARestoreHaveNoKnownAge)
{
  Replica replica(&DecodeSampleConfig);
  const std::string kept = RecordName({ 1, 8172 });
  const std::string lost = RecordName({ 2, 8172 });
  const std::string added = RecordName({ 3, 8172 });
  const auto created = [](uint32_t aIp, uint64_t aRevision) {
    ObjectChange change = RecordChange(aIp, aRevision);
    change.mCreated = Revision(aRevision);
    return change;
  };
  replica.ApplySnapshot(
    Part::Backends,
    { Revision(15), { created(1, 4), created(2, 15) }, Epoch(1) });
  BOOST_TEST(replica.RecordCreated(lost).Value() == 15U);
  replica.ApplySnapshot(Part::Backends,
                        { Revision(13), { created(1, 4) }, Epoch(2) });
  replica.ApplyChanges(
    Part::Backends, { created(2, 14), created(3, 15) }, Revision(15));
  BOOST_TEST(replica.RecordCreated(kept).Value() == 0U);
  BOOST_TEST(replica.RecordCreated(lost).Value() == 0U);
  BOOST_TEST(replica.RecordCreated(added).Value() == 15U);
  // A later change of the record does not make its age known.
  ObjectChange drained = RecordChange(2, 16);
  drained.mCreated = Revision(14);
  replica.ApplyChanges(Part::Backends, { drained }, Revision(16));
  BOOST_TEST(replica.RecordCreated(lost).Value() == 0U);
}

// The first known epoch after an unknown one, as after a stale read, is no
// restore: what it lacks has been removed.
BOOST_AUTO_TEST_CASE(FirstKnownEpochRetainsNothing)
{
  Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Backends,
                        { Revision(15), { RecordChange(1, 14) } });
  replica.ApplySnapshot(Part::Backends, { Revision(16), {}, Epoch(1) });
  BOOST_TEST(replica.Backends().empty());
}

BOOST_AUTO_TEST_SUITE_END()
