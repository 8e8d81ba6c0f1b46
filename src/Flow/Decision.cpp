#include <snipepost/Flow/Decision.h>

#include <array>

namespace snipepost::flow {

namespace {

constexpr std::array kVerdictNames = {
  "offered",     "placed",  "queued",    "refused", "unanswered",
  "rejected",    "dropped", "locating",  "located", "opened",
  "turned-away", "ended",   "not-owned",
};

} // namespace

std::string_view
ToString(Verdict aVerdict)
{
  return kVerdictNames.at(static_cast<size_t>(aVerdict));
}

bool
IsRoutine(Verdict aVerdict)
{
  return aVerdict == Verdict::Offered || aVerdict == Verdict::Placed ||
         aVerdict == Verdict::Opened;
}

} // namespace snipepost::flow
