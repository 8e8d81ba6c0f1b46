#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/RecordHistory.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::BackendState;
using cluster::Part;
using cluster::Revision;

namespace {

constexpr Instant kNow{ 1000s };

struct History
{
  History() { FillReplica(mReplica, 3, 1, 4); }

  void Change(uint64_t aRevision, const std::optional<std::string>& aText)
  {
    mReplica.ApplyChanges(
      Part::Backends,
      { { mName, Revision(aRevision), aText, Revision(aRevision) } },
      Revision(aRevision));
  }

  const std::string mName = cluster::RecordName(AgentAddress(1));
  cluster::Replica mReplica{ &DecodeSampleConfig };
  RecordHistory mHistory{ 60s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RecordHistoryTest)

// Guards against the reset of a running agent's flows while its record is
// missing: nobody would ask the agent. One of a server that has drained and
// ended must be forgotten soon, since its agent does not reply.
BOOST_AUTO_TEST_CASE(MissingRecordsAreKeptByTheirState)
{
  for (const auto& [state, kept] : { std::pair(BackendState::Ready, 60s),
                                     { BackendState::Draining, 2s } }) {
    History test;
    cluster::BackendRecord record = test.mReplica.Backends().at(test.mName);
    record.mState = state;
    test.Change(2, cluster::EncodeRecord(record));
    test.mHistory.Update(test.mReplica, kNow);
    test.Change(3, std::nullopt);
    test.mHistory.Update(test.mReplica, kNow);
    BOOST_TEST(test.mHistory.IsMissing(test.mName));
    BOOST_TEST(test.mHistory.FindAgent(cluster::NodeIp(AgentAddress(1).mIp)));
    test.mHistory.Update(test.mReplica, kNow + kept);
    BOOST_TEST(test.mHistory.IsMissing(test.mName));
    test.mHistory.Update(test.mReplica, kNow + kept + 1ms);
    BOOST_TEST(!test.mHistory.IsMissing(test.mName));
    BOOST_TEST(test.mHistory.Records().size() == 2U);
  }
}

// Guards against leaving out an owner whose record was written again: other
// servers may have been added between the two creations.
BOOST_AUTO_TEST_CASE(RecordWrittenAgainKeepsItsFirstRevision)
{
  History test;
  const std::string text =
    cluster::EncodeRecord(test.mReplica.Backends().at(test.mName));
  test.Change(2, std::nullopt);
  test.mHistory.Update(test.mReplica, kNow);
  test.Change(3, text);
  test.mHistory.Update(test.mReplica, kNow + 1s);
  test.Change(4, std::nullopt);
  test.Change(5, text);
  test.mHistory.Update(test.mReplica, kNow + 2s);
  const auto& known = test.mHistory.Records().at(test.mName);
  BOOST_TEST(!known.mMissingSince);
  BOOST_TEST((known.mFirstCreated == Revision(3)));
  BOOST_TEST((known.mCreated == Revision(5)));
  BOOST_TEST((known.mKnownSince == kNow + 2s));
}

// Guards against packets to the port of an agent that has ended: a new one on
// the same machine may use another port.
BOOST_AUTO_TEST_CASE(CurrentRecordOfAnAddressIsPreferred)
{
  History test;
  test.mHistory.Update(test.mReplica, kNow);
  cluster::BackendRecord record = test.mReplica.Backends().at(test.mName);
  test.Change(2, std::nullopt);
  ++record.mAgent.mPort;
  test.mReplica.ApplyChanges(Part::Backends,
                             { { cluster::RecordName(record.mAgent),
                                 Revision(3),
                                 cluster::EncodeRecord(record),
                                 Revision(3) } },
                             Revision(3));
  test.mHistory.Update(test.mReplica, kNow);
  const cluster::NodeIp agent(record.mAgent.mIp);
  BOOST_REQUIRE(test.mHistory.FindAgent(agent));
  BOOST_TEST((test.mHistory.FindAgent(agent)->mAgent == record.mAgent));
}

BOOST_AUTO_TEST_SUITE_END()
