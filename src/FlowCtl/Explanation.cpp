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

  /// True when the event was logged later than aLine, a line of this flow.
  bool HasAfter(std::string_view aEvent, const LogLine& aLine) const
  {
    const LogLine* last = Last(aEvent);
    return last && last > &aLine;
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

/// Whether a "queued" line is of an agent, whose peer is the entry instance
/// that offered the flow, and not of an entry instance, whose peer is the
/// agent. Only entry instances make offers, and log the line after one or more.
bool
LoggedByAgent(const LogLine& aQueued)
{
  return aQueued.Field("offers") == "0";
}

/// The agent that held the SYN of a "queued" line.
std::string
HoldingAgent(const LogLine& aQueued)
{
  return LoggedByAgent(aQueued) ? aQueued.mInstance : aQueued.Field("peer");
}

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
  const LogLine* queued = aLog.Last("queued");
  if (queued && !aLog.HasAfter("refused", *queued)) {
    text += " The agent " + HoldingAgent(*queued) +
            " held the SYN until there was capacity.";
  }
  if (aLog.Has("unanswered")) {
    text += " No reply from " + aLog.UnresponsivePeers() + '.';
  }
  return text;
}

/// What became of the flow of a "queued" line that no entry instance placed,
/// rejected or dropped.
std::string
OutcomeOfQueued(const FlowLog& aLog, const LogLine& aQueued)
{
  for (const char* event : { "refused", "turned-away" }) {
    if (aLog.HasAfter(event, aQueued)) {
      return "An agent refused the flow later (" +
             aLog.Last(event)->Field("refusal") +
             "), but no entry instance logged whether the caller was rejected.";
    }
  }
  return "No instance logged whether it was accepted or refused later: the "
         "caller abandoned the attempt, the agent ended, or the reply was "
         "lost.";
}

std::optional<std::string>
ExplainQueued(const FlowLog& aLog)
{
  const LogLine* line = aLog.Last("queued");
  if (!line) {
    return std::nullopt;
  }
  std::string text = "The agent " + HoldingAgent(*line) + " held the SYN ";
  text += LoggedByAgent(*line)
            ? "that the entry instance " + line->Field("peer") + " offered. "
            : "after " + line->Field("elapsed_ms") + " ms. ";
  return text + OutcomeOfQueued(aLog, *line) +
         " Refusals: " + aLog.RefusalCounts() + '.';
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
