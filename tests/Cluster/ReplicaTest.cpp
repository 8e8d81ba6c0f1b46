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

BOOST_AUTO_TEST_SUITE_END()
