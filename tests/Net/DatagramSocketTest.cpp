#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <snipepost/Net/DatagramSocket.h>

using namespace snipepost;

namespace {

constexpr Address kLoopback{ 0x7f000001, 0 };

class Collector : public DatagramHandler
{
public:
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override
  {
    mReceived.emplace_back(aBytes.begin(), aBytes.end());
    mFrom = aFrom;
  }

  std::vector<std::string> mReceived;
  Address mFrom;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DatagramSocketTest)

// Guards against losing or reordering datagrams between batches.
BOOST_AUTO_TEST_CASE(EveryDatagramOfSeveralBatchesArrivesInOrder)
{
  asio::io_context context;
  DatagramSocket sender(context, kLoopback);
  DatagramSocket receiver(context, kLoopback);
  Collector collector;
  receiver.Start(collector);
  constexpr size_t kCount = 200;
  for (size_t i = 0; i < kCount; ++i) {
    const std::string text = std::to_string(i);
    sender.Send({ reinterpret_cast<const uint8_t*>(text.data()), text.size() },
                receiver.Local());
  }
  sender.Flush();
  while (collector.mReceived.size() < kCount) {
    context.run_one();
  }
  for (size_t i = 0; i < kCount; ++i) {
    BOOST_TEST(collector.mReceived[i] == std::to_string(i));
  }
  BOOST_TEST((collector.mFrom == sender.Local()));
}

// Guards against writing past the send buffer.
BOOST_AUTO_TEST_CASE(DropsDatagramsAboveTheLimit)
{
  asio::io_context context;
  DatagramSocket sender(context, kLoopback);
  const std::vector<uint8_t> large(kMaxDatagram + 1);
  sender.Send(large, { 0x7f000001, 9 });
  BOOST_TEST(sender.SendDrops() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
