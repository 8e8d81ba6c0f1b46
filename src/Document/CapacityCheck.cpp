#include "src/Document/CapacityCheck.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>

#include <snipepost/Document/Effective.h>
#include <snipepost/Document/Time.h>

namespace snipepost {

namespace {

/// Usable endpoints and slots of a service at a given time.
struct Capacity
{
  uint64_t mEndpoints = 0;
  uint64_t mCold = 0;
  uint64_t mSlots = 0;
};

/// Applies the planned changes in order and tracks the services that lack
/// capacity, so that each shortage is reported once, at the change that causes
/// it.
class CapacityCheck
{
public:
  CapacityCheck(const Document& aDocument,
                const ValidationContext& aContext,
                std::vector<DocumentError>& aErrors)
    : mDocument(aDocument)
    , mContext(aContext)
    , mErrors(aErrors)
  {
  }

  void Run()
  {
    EffectiveConfig config = EffectiveAt(mDocument, mContext.mNow);
    CheckAt(config, mContext.mNow, "");
    const auto changes =
      ChangesBetween(mDocument, mContext.mNow, mContext.mHorizon);
    for (size_t i = 0; i < changes.size(); ++i) {
      ApplyChange(changes[i], config);
      const WallTime at = changes[i].mAt;
      if (i + 1 == changes.size() || changes[i + 1].mAt != at) {
        CheckAt(config, at, PointerToChangeAt(at));
      }
    }
  }

private:
  std::string PointerToChangeAt(WallTime aAt) const
  {
    const auto found =
      std::ranges::find(mDocument.mPlanned, aAt, &PlannedChange::mAt);
    return "/plannedChanges/" +
           std::to_string(found - mDocument.mPlanned.begin());
  }

  void CheckAt(const EffectiveConfig& aConfig,
               WallTime aAt,
               const std::string& aPointer)
  {
    auto capacities = mContext.mEndpoints
                        ? CountAnnouncedEndpoints(aConfig, aAt)
                        : MaximumByRules(aConfig);
    for (size_t i = 0; i < mDocument.mServices.size(); ++i) {
      const Service& service = mDocument.mServices[i];
      const std::string text = ShortageText(service, capacities[service.mId]);
      if (text.empty()) {
        mUndersupplied.erase(service.mId);
      } else if (mUndersupplied.insert(service.mId).second) {
        const auto pointer =
          aPointer.empty() ? "/services/" + std::to_string(i) + "/minEndpoints"
                           : aPointer;
        mErrors.push_back({ pointer,
                            "service " + service.mName + " at " +
                              ToString(aAt) + ": " + text });
      }
    }
  }

  /// Counts announced endpoints. Those that are usable at mNow are warm.
  std::map<ServiceId, Capacity> CountAnnouncedEndpoints(
    const EffectiveConfig& aConfig,
    WallTime aAt)
  {
    std::map<ServiceId, Capacity> capacities;
    for (const auto& endpoint : *mContext.mEndpoints) {
      const auto admission = aConfig.AdmissionStateOf(endpoint.mBackend);
      if (admission != AdmissionState::Admitted ||
          !aConfig.IsInService(endpoint.mDomain)) {
        mUsableSince.erase(endpoint.mBackend);
        continue;
      }
      const auto usableFrom = aAt == mContext.mNow ? WallTime::min() : aAt;
      const auto since =
        mUsableSince.emplace(endpoint.mBackend, usableFrom).first->second;
      const Service& service = aConfig.mServices.at(endpoint.mBackend.mService);
      Capacity& capacity = capacities[service.mId];
      ++capacity.mEndpoints;
      if (since != WallTime::min() && aAt - since < service.mRamp) {
        ++capacity.mCold;
        ++capacity.mSlots;
      } else {
        capacity.mSlots += std::min(endpoint.mSlots, service.mSlots);
      }
    }
    return capacities;
  }

  /// Returns the maximum that rules and failure domains allow, for a check
  /// without a list of endpoints.
  std::map<ServiceId, Capacity> MaximumByRules(
    const EffectiveConfig& aConfig) const
  {
    const bool anyDomainIn =
      std::ranges::any_of(aConfig.mDomains, [&](const auto& aItem) {
        return aConfig.IsInService(aItem.first);
      });
    std::map<ServiceId, Capacity> capacities;
    for (const auto& item : aConfig.mServices) {
      const Service& service = item.second;
      Capacity& capacity = capacities[item.first];
      if (anyDomainIn && service.mAdmission == AdmissionMode::Automatic) {
        // Any number of endpoints is allowed; minEndpoints is 65535 at most.
        capacity.mEndpoints = std::numeric_limits<uint16_t>::max();
      } else if (anyDomainIn) {
        capacity.mEndpoints =
          std::ranges::count_if(aConfig.mRules, [&](const auto& aRule) {
            return aRule.first.mService == item.first &&
                   aRule.second == BackendRuleState::Admitted;
          });
      }
      capacity.mSlots = capacity.mEndpoints * service.mSlots;
    }
    return capacities;
  }

  static std::string ShortageText(const Service& aService,
                                  const Capacity& aCapacity)
  {
    const uint64_t needed =
      uint64_t{ aService.mMinEndpoints } * aService.mSlots;
    std::string text;
    if (aCapacity.mEndpoints < aService.mMinEndpoints) {
      text = std::to_string(aCapacity.mEndpoints) +
             " usable endpoints, minEndpoints is " +
             std::to_string(aService.mMinEndpoints);
    }
    if (aCapacity.mSlots < needed) {
      text += (text.empty() ? "" : "; ") + std::string("capacity ") +
              std::to_string(aCapacity.mSlots) + " slots (" +
              std::to_string(aCapacity.mEndpoints) + " endpoints, " +
              std::to_string(aCapacity.mCold) + " of them cold), needs " +
              std::to_string(needed) + " (minEndpoints " +
              std::to_string(aService.mMinEndpoints) + " x slots " +
              std::to_string(aService.mSlots) + ")";
    }
    return text;
  }

  const Document& mDocument;
  const ValidationContext& mContext;
  std::vector<DocumentError>& mErrors;
  std::map<BackendTarget, WallTime> mUsableSince;
  std::set<ServiceId> mUndersupplied;
};

} // namespace

void
CheckCapacity(const Document& aDocument,
              const ValidationContext& aContext,
              std::vector<DocumentError>& aErrors)
{
  CapacityCheck(aDocument, aContext, aErrors).Run();
}

} // namespace snipepost
