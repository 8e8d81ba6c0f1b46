#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Random.h>
#include <snipepost/Http2/Client.h>
#include <snipepost/Http2/Server.h>

#include "Loop.h"

using namespace snipepost;
using namespace snipepost::http2;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::http2::Result)

namespace {

constexpr uint64_t kSeed = 20240611;
constexpr int kRounds = 150;
constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string
Frame(uint8_t aType, uint8_t aFlags, uint8_t aStream, std::string_view aPayload)
{
  std::string frame{ 0,
                     static_cast<char>(aPayload.size() >> 8),
                     static_cast<char>(aPayload.size()),
                     static_cast<char>(aType),
                     static_cast<char>(aFlags),
                     0,
                     0,
                     0,
                     static_cast<char>(aStream) };
  return frame.append(aPayload);
}

/// SETTINGS, a POST with a body, a GET, PING, RST_STREAM and WINDOW_UPDATE. The
/// header blocks use indices of the static table.
std::string
ValidFrames()
{
  const std::string post = "\x83\x86\x84\x41\x01h";
  const std::string get = "\x82\x86\x84\x41\x01h";
  return Frame(4, 0, 0, "") + Frame(1, 4, 1, post) + Frame(0, 1, 1, "body") +
         Frame(1, 5, 3, get) + Frame(6, 0, 0, "12345678") +
         Frame(3, 0, 3, std::string("\0\0\0\x08", 4)) +
         Frame(8, 0, 0, std::string("\0\0\1\0", 4));
}

std::string
RandomBytes(Random& aRandom, size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom.Below(256));
  }
  return bytes;
}

std::string
Mutate(Random& aRandom, std::string aBytes)
{
  for (uint64_t i = 0; i <= aRandom.Below(6); ++i) {
    const size_t at = aRandom.Below(aBytes.size());
    switch (aRandom.Below(4)) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aBytes.erase(at, 1 + aRandom.Below(4));
        break;
      case 2:
        aBytes.insert(at, RandomBytes(aRandom, 1 + aRandom.Below(4)));
        break;
      default:
        aBytes.insert(at, aBytes.substr(aRandom.Below(aBytes.size())));
    }
    if (aBytes.empty()) {
      return "x";
    }
  }
  return aBytes;
}

struct Fixture
{
  asio::io_context mContext;
  int mRequests = 0;
  Server mServer{ mContext,
                  kLoopbackAnyPort,
                  [this](const ServerRequest& aRequest,
                         const std::shared_ptr<Responder>& aResponder) {
                    ++mRequests;
                    aResponder->Respond(200, {}, aRequest.mBody);
                  } };

  /// Sends the bytes, closes the connection and waits until the server has
  /// closed it, too.
  void Send(const std::string& aBytes)
  {
    asio::ip::tcp::socket socket(mContext);
    const Address address = mServer.LocalAddress();
    socket.connect({ asio::ip::address_v4(address.mIp), address.mPort });
    BOOST_REQUIRE(
      RunUntil(mContext, [this] { return mServer.Connections() == 1; }));
    asio::error_code ignored;
    asio::write(socket, asio::buffer(aBytes), ignored);
    RunReady(mContext);
    socket.close(ignored);
    BOOST_REQUIRE(
      RunUntil(mContext, [this] { return mServer.Connections() == 0; }));
  }

  void CheckStillServing()
  {
    Client client(mContext, mServer.LocalAddress());
    std::optional<Result> result;
    client.Collect(
      {}, 1024, [&](Result aResult, const Response&) { result = aResult; });
    BOOST_REQUIRE(RunUntil(mContext, [&] { return result.has_value(); }));
    BOOST_TEST(*result == Result::Answered);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MalformedInputTest, Fixture)

// Checks that the frames mutated below are valid before the mutation; otherwise
// those tests might never get past the first frame.
BOOST_AUTO_TEST_CASE(UnchangedFramesReachTheHandler)
{
  Send(std::string(kPreface) + ValidFrames());
  BOOST_TEST(mRequests == 2);
}

// Guards against crashes and leaks on input that is not HTTP/2.
BOOST_AUTO_TEST_CASE(RandomBytesDoNotStopTheServer)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Random random(kSeed);
  for (int i = 0; i < kRounds; ++i) {
    Send(RandomBytes(random, 1 + random.Below(200)));
    Send(std::string(kPreface) + RandomBytes(random, 1 + random.Below(2000)));
  }
  CheckStillServing();
}

// Guards against crashes and leaks on frames that are almost valid.
BOOST_AUTO_TEST_CASE(MutatedFramesDoNotStopTheServer)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Random random(kSeed);
  for (int i = 0; i < kRounds; ++i) {
    Send(std::string(kPreface) + Mutate(random, ValidFrames()));
    Send(Mutate(random, std::string(kPreface) + ValidFrames()));
  }
  CheckStillServing();
}

BOOST_AUTO_TEST_SUITE_END()
