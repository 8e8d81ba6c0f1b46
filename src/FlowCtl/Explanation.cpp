#include "src/FlowCtl/Explanation.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>

namespace snipepost::flowctl {

namespace {

/// The log lines of one flow, with the queries that its summary needs.
class FlowLog
{
public:
  explicit FlowLog(const std::vector<LogLine>& aLines)
    : mLines(aLines)
  {
  }

  size_t Count(std::string_view aEvent) const
  {
    return static_cast<size_t>(
      std::ranges::count(mLines, aEvent, &LogLine::mEvent));
  }
  bool Has(std::string_view aEvent) const { return Count(aEvent) > 0; }

  /// The last line of an event; null when there is none.
  const LogLine* Last(std::string_view aEvent) const
  {
    const auto found =
      std::find_if(mLines.rbegin(), mLines.rend(), [&](const LogLine& aLine) {
        return aLine.mEvent == aEvent;
      });
    return found == mLines.rend() ? nullptr : &*found;
  }

  /// The number of refusals by reason, such as "1 cold, 3 full".
  std::string RefusalCounts() const
  {
    std::map<std::string, size_t> counts;
    for (const LogLine& line : mLines) {
      if (line.mEvent == "refused") {
        ++counts[line.Field("refusal")];
      }
    }
    std::ostringstream text;
    const char* separator = "";
    for (const auto& [reason, count] : counts) {
      text << separator << count << ' ' << reason;
      separator = ", ";
    }
    return counts.empty() ? "none" : text.str();
  }

  /// The instances that did not reply to an offer, separated by commas.
  std::string UnresponsivePeers() const
  {
    std::string text;
    for (const LogLine& line : mLines) {
      const std::string peer = line.Field("peer");
      if (line.mEvent == "unanswered" && text.find(peer) == std::string::npos) {
        text += (text.empty() ? "" : ", ") + peer;
      }
    }
    return text;
  }

private:
  const std::vector<LogLine>& mLines;
};

std::optional<std::string>
ExplainEnded(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("ended");
  if (!line) {
    return std::nullopt;
  }
  return "The flow ended with its backend server: the agent " +
         line->mInstance +
         " reset the flow because the backend server restarted. The agent's "
         "heartbeat lines show when the next incarnation of the backend server "
         "started.";
}

std::optional<std::string>
ExplainRejected(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("rejected");
  if (!line || aLog.Has("placed")) {
    return std::nullopt;
  }
  return "The caller received a reset before the flow opened (" +
         line->Field("reason") + ", configuration " + line->Field("config") +
         "): the request did not run. Refusals: " + aLog.RefusalCounts() + '.';
}

std::optional<std::string>
ExplainLostOwner(const FlowLog& aLog)
{
  if (!aLog.Has("locating") || aLog.Has("located")) {
    return std::nullopt;
  }
  return "Packets of the open flow reached an entry instance that did not know "
         "the flow's owner, and the owner lookup found no agent: the owner or "
         "its backend server has failed, or can't be reached from that entry "
         "instance.";
}

std::optional<std::string>
ExplainLostReply(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("opened");
  if (!line || aLog.Has("placed") || aLog.Has("located")) {
    return std::nullopt;
  }
  return "The agent " + line->mInstance +
         " opened the flow, but no entry instance logged that it was placed: "
         "the reply was lost, or the log line was dropped by the log rate "
         "limit.";
}

std::optional<std::string>
ExplainPlaced(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("placed");
  if (!line) {
    return std::nullopt;
  }
  std::string text = "The flow was placed at " + line->Field("peer") +
                     " after " + line->Field("offers") + " offers and " +
                     line->Field("elapsed_ms") + " ms, with configuration " +
                     line->Field("config") +
                     ". Refusals: " + aLog.RefusalCounts() + '.';
  if (aLog.Has("queued")) {
    text += " An agent held the SYN until there was capacity.";
  }
  if (aLog.Has("unanswered")) {
    text += " No reply from " + aLog.UnresponsivePeers() + '.';
  }
  return text;
}

std::optional<std::string>
ExplainQueued(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("queued");
  if (!line) {
    return std::nullopt;
  }
  return "The agent " + line->Field("peer") + " held the SYN after " +
         line->Field("elapsed_ms") +
         " ms, but no instance logged whether it was accepted or refused "
         "later: the caller abandoned the attempt, the agent ended, or the "
         "reply was lost. Refusals: " +
         aLog.RefusalCounts() + '.';
}

std::optional<std::string>
ExplainDropped(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("dropped");
  if (!line) {
    return std::nullopt;
  }
  return "The SYN packets were dropped (" + line->Field("reason") +
         ") instead of rejected, as a retransmission might have been accepted, "
         "but none was. Refusals: " +
         aLog.RefusalCounts() + ", no reply from: " +
         (aLog.Has("unanswered") ? aLog.UnresponsivePeers() : "none") + '.';
}

/// In order of precedence: the first that applies explains the flow.
constexpr std::array kExplainers = {
  &ExplainEnded,  &ExplainRejected, &ExplainLostOwner, &ExplainLostReply,
  &ExplainPlaced, &ExplainDropped,  &ExplainQueued,
};

std::string
Summarize(const std::vector<LogLine>& aLines)
{
  const FlowLog log(aLines);
  for (const auto explain : kExplainers) {
    if (auto text = explain(log)) {
      return *text;
    }
  }
  return "No instance logged a decision about this flow: no packet of it "
         "reached an instance, or its log lines were dropped by the log rate "
         "limit (see log-lines-dropped).";
}

} // namespace

Explanation
Explain(const std::vector<LogLine>& aLines,
        const std::string& aCaller,
        const std::string& aRoute)
{
  Explanation explanation;
  for (const LogLine& line : aLines) {
    if (line.Field("caller") == aCaller &&
        (aRoute.empty() || line.Field("route") == aRoute)) {
      explanation.mLines.push_back(line);
    }
  }
  explanation.mSummary = Summarize(explanation.mLines);
  return explanation;
}

} // namespace snipepost::flowctl
