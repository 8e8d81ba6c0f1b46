#include <snipepost/Settings/Log.h>

#include <array>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

namespace snipepost {

namespace {

namespace expr = boost::log::expressions;
using Logger =
  boost::log::sources::severity_channel_logger_mt<LogLevel, LogChannel>;
using Sink =
  boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

constexpr std::array<std::string_view, 4> kLevelNames{ "debug",
                                                       "info",
                                                       "warning",
                                                       "error" };
constexpr std::array<std::string_view, 6> kChannelNames{
  "daemon", "document", "membership", "store", "admission", "transport"
};

LogFormat sFormat = LogFormat::Text;

std::string
FormatLine(
  LogChannel aChannel,
  LogLevel aLevel,
  std::string_view aMessage,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields)
{
  const auto level = kLevelNames[static_cast<size_t>(aLevel)];
  const auto channel = kChannelNames[static_cast<size_t>(aChannel)];
  if (sFormat == LogFormat::Json) {
    boost::json::object line{ { "level", level },
                              { "channel", channel },
                              { "message", aMessage } };
    for (const auto& [name, value] : aFields) {
      line[name] = value;
    }
    return boost::json::serialize(line);
  }
  std::string line = std::string(level) + ' ' + std::string(channel) + ": " +
                     std::string(aMessage);
  for (const auto& [name, value] : aFields) {
    line += ' ' + std::string(name) + '=' + value;
  }
  return line;
}

} // namespace

bool
ParseLogLevel(std::string_view aText, LogLevel& aOut)
{
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == aText) {
      aOut = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

void
StartLog(LogFormat aFormat, LogLevel aLevel)
{
  sFormat = aFormat;
  auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  const auto time = expr::format_date_time<boost::posix_time::ptime>(
    "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ");
  if (aFormat == LogFormat::Json) {
    sink->set_formatter(expr::stream << "{\"time\":\"" << time
                                     << "\",\"event\":" << expr::smessage
                                     << '}');
  } else {
    sink->set_formatter(expr::stream << time << ' ' << expr::smessage);
  }
  sink->set_filter(expr::attr<LogLevel>("Severity") >= aLevel);
  auto core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_sink(sink);
  core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
}

void
LogLine(LogChannel aChannel,
        LogLevel aLevel,
        std::string_view aMessage,
        std::initializer_list<std::pair<std::string_view, std::string>> aFields)
{
  static Logger sLogger;
  BOOST_LOG_CHANNEL_SEV(sLogger, aChannel, aLevel)
    << FormatLine(aChannel, aLevel, aMessage, aFields);
}

} // namespace snipepost
