#include "src/FlowCtl/Explanation.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>

namespace snipepost::flowctl {

namespace {

/// The chain of one flow, with the questions that its cause depends on.
class Chain
{
public:
  explicit Chain(const std::vector<LogLine>& aLines)
    : mLines(aLines)
  {
  }

  size_t Count(std::string_view aEvent) const
  {
    return static_cast<size_t>(
      std::ranges::count(mLines, aEvent, &LogLine::mEvent));
  }
  bool Has(std::string_view aEvent) const { return Count(aEvent) > 0; }

  /// The last line of an event; nothing when there is none.
  const LogLine* Last(std::string_view aEvent) const
  {
    const auto found =
      std::find_if(mLines.rbegin(), mLines.rend(), [&](const LogLine& aLine) {
        return aLine.mEvent == aEvent;
      });
    return found == mLines.rend() ? nullptr : &*found;
  }

  /// "3 full, 1 cold": the reasons of refusals.
  std::string Refusals() const
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

  /// Instances that did not answer offers, with commas.
  std::string Unanswered() const
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
ExplainEnded(const Chain& aChain)
{
  const LogLine* line = aChain.Last("ended");
  if (!line) {
    return std::nullopt;
  }
  return "The flow ended with its backend server: the agent " +
         line->mInstance +
         " knows that the incarnation which held it is gone, and reset it. "
         "Its heartbeat lines tell when the next one started.";
}

std::optional<std::string>
ExplainRejected(const Chain& aChain)
{
  const LogLine* line = aChain.Last("rejected");
  if (!line || aChain.Has("placed")) {
    return std::nullopt;
  }
  return "The caller was reset before the flow opened (" +
         line->Field("reason") + ", configuration " + line->Field("config") +
         "): the request did not run. Refusals: " + aChain.Refusals() + '.';
}

std::optional<std::string>
ExplainLostOwner(const Chain& aChain)
{
  if (!aChain.Has("locating") || aChain.Has("located")) {
    return std::nullopt;
  }
  return "Packets of the open flow reached an entry instance that did not know "
         "its owner, and no agent said that it holds the flow: the agent or "
         "its backend server died, or can't be reached from there.";
}

std::optional<std::string>
ExplainLostReply(const Chain& aChain)
{
  const LogLine* line = aChain.Last("opened");
  if (!line || aChain.Has("placed") || aChain.Has("located")) {
    return std::nullopt;
  }
  return "The agent " + line->mInstance +
         " opened the flow, and no entry instance says that it was placed: the "
         "reply was lost, or that line was dropped above the log rate.";
}

std::optional<std::string>
ExplainPlaced(const Chain& aChain)
{
  const LogLine* line = aChain.Last("placed");
  if (!line) {
    return std::nullopt;
  }
  std::string text = "The flow was placed at " + line->Field("peer") +
                     " after " + line->Field("offers") + " offers and " +
                     line->Field("elapsed_ms") + " ms, with configuration " +
                     line->Field("config") +
                     ". Refusals: " + aChain.Refusals() + '.';
  if (aChain.Has("unanswered")) {
    text += " No reply from " + aChain.Unanswered() + '.';
  }
  return text;
}

std::optional<std::string>
ExplainDropped(const Chain& aChain)
{
  const LogLine* line = aChain.Last("dropped");
  if (!line) {
    return std::nullopt;
  }
  return "The opening packets were dropped (" + line->Field("reason") +
         "), so that a copy might do better; none did. Refusals: " +
         aChain.Refusals() + ", no reply from: " +
         (aChain.Has("unanswered") ? aChain.Unanswered() : "none") + '.';
}

/// The first that applies is the cause.
constexpr std::array kExplainers = {
  &ExplainEnded,     &ExplainRejected, &ExplainLostOwner,
  &ExplainLostReply, &ExplainPlaced,   &ExplainDropped,
};

std::string
CauseOf(const std::vector<LogLine>& aLines)
{
  const Chain chain(aLines);
  for (const auto explain : kExplainers) {
    if (auto text = explain(chain)) {
      return *text;
    }
  }
  return "No instance logged a decision about this flow: it did not arrive, or "
         "its lines were above the rate (see log-lines-dropped).";
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
      explanation.mChain.push_back(line);
    }
  }
  explanation.mCause = CauseOf(explanation.mChain);
  return explanation;
}

} // namespace snipepost::flowctl
