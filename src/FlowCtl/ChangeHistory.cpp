#include "src/FlowCtl/ChangeHistory.h"

#include <utility>

namespace snipepost::flowctl {

namespace {

constexpr std::string_view kFirstSnapshot = "first snapshot";
constexpr std::string_view kRestored = "restored";

bool
IsOperatorChange(const LogLine& aLine)
{
  const std::string part = aLine.Field("part");
  const std::string change = aLine.Field("change");
  return aLine.mEvent == "state-changed" &&
         (part == "routes" || part == "evacuations") &&
         change != kFirstSnapshot && !change.starts_with(kRestored);
}

/// The failure domain in the texts "evacuated NAME" and "removed NAME".
std::string
ChangedDomain(const std::string& aChange)
{
  return aChange.substr(aChange.rfind(' ') + 1);
}

/// Finds the change that a line reports; null when it is a new one. Evacuating
/// a failure domain again after its evacuation was removed is a new change, but
/// instances that lag behind may still report the earlier one.
OperatorChange*
FindChange(std::vector<OperatorChange>& aChanges,
           const std::string& aPart,
           const std::string& aText,
           uint64_t aEpoch,
           uint64_t aRevision)
{
  const auto position = [](const OperatorChange& aChange) {
    return std::pair(aChange.mEpoch, aChange.mRevision);
  };
  OperatorChange* same = nullptr;
  OperatorChange* opposite = nullptr;
  for (OperatorChange& change : aChanges) {
    if (change.mPart != aPart) {
      continue;
    }
    if (change.mChange == aText) {
      same = &change;
    } else if (aPart == "evacuations" &&
               ChangedDomain(change.mChange) == ChangedDomain(aText)) {
      opposite = &change;
    }
  }
  const bool repeated = same && opposite &&
                        position(*opposite) > position(*same) &&
                        std::pair(aEpoch, aRevision) > position(*opposite);
  return repeated ? nullptr : same;
}

} // namespace

std::vector<OperatorChange>
CollectChanges(const std::vector<LogLine>& aLines)
{
  std::vector<OperatorChange> changes;
  for (const LogLine& line : aLines) {
    if (!IsOperatorChange(line)) {
      continue;
    }
    const std::string part = line.Field("part");
    const std::string text = line.Field("change");
    const auto revision = static_cast<uint64_t>(line.Number("revision"));
    // Instances of the previous build log no epoch.
    const auto epoch = static_cast<uint64_t>(line.Number("epoch"));
    OperatorChange* change = FindChange(changes, part, text, epoch, revision);
    if (!change) {
      change = &changes.emplace_back();
      change->mPart = part;
      change->mEpoch = epoch;
      change->mRevision = revision;
      change->mChange = text;
      change->mFirstAdopted = line.mTime;
      change->mFirstInstance = line.mInstance;
    }
    change->mLastAdopted = line.mTime;
    change->mLastInstance = line.mInstance;
    ++change->mInstanceCount;
  }
  return changes;
}

} // namespace snipepost::flowctl
