#include <array>
#include <chrono>

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "src/FlowDaemon/EventLog.h"

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

struct Pipe
{
  Pipe()
  {
    BOOST_REQUIRE(pipe(mEnds.data()) == 0);
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string Read()
  {
    std::string text;
    std::array<char, 4096> bytes{};
    ssize_t size = 0;
    while ((size = read(mEnds[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<size_t>(size));
    }
    return text;
  }

  std::array<int, 2> mEnds{};
};

constexpr Instant kNow{ 10s };

int64_t
TestClock()
{
  return 1234;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLogTest, Pipe)

BOOST_AUTO_TEST_CASE(LinesHaveTimeEventAndFields)
{
  EventLog log(mEnds[1], 10, &TestClock);
  log.Flush(kNow);
  log.Write("refused",
            { { "load", "7" }, { "reason", "a \"b\"" }, { "", "left out" } });
  log.Flush(kNow);
  BOOST_TEST(Read() ==
             "time=1234 event=refused load=7 reason=\"a \\\"b\\\"\"\n");
}

BOOST_AUTO_TEST_CASE(VolumeIsBoundedAndDroppedLinesAreCounted)
{
  EventLog log(mEnds[1], 10, &TestClock);
  log.Flush(kNow);
  for (int i = 0; i < 100; ++i) {
    log.Write("refused", {});
  }
  log.WriteAlways("store-lost", {});
  BOOST_TEST(log.Dropped() == 90U);
  log.Flush(kNow + 2s);
  const std::string text = Read();
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 12);
  BOOST_TEST(text.find("event=store-lost") != std::string::npos);
  BOOST_TEST(text.find("event=log-lines-dropped count=90") !=
             std::string::npos);
}

// Forwarding must continue when no process reads standard output.
BOOST_AUTO_TEST_CASE(UnreadOutputDoesNotBlock)
{
  EventLog log(mEnds[1], 1000000, &TestClock);
  const std::string value(1000, 'x');
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) {
    log.Write("refused", { { "value", value } });
    log.Flush(kNow);
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
  BOOST_TEST(log.Dropped() > 0U);
  BOOST_TEST(log.Written() + log.Dropped() >= 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
