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

/// Usable endpoints and slots of one service at one time.
struct Supply
{
  uint64_t mEndpoints = 0;
  uint64_t mCold = 0;
  uint64_t mSlots = 0;
};

/// Applies the planned changes one by one and keeps the services that lack
/// capacity, so that each shortage is reported at the change that causes it.
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
    Step(config, mContext.mNow, "");
    const auto changes =
      ChangesBetween(mDocument, mContext.mNow, mContext.mHorizon);
    for (size_t i = 0; i < changes.size(); ++i) {
      ApplyChange(changes[i], config);
      const WallTime at = changes[i].mAt;
      if (i + 1 == changes.size() || changes[i + 1].mAt != at) {
        Step(config, at, PointerOf(at));
      }
    }
  }

private:
  std::string PointerOf(WallTime aAt) const
  {
    const auto found =
      std::ranges::find(mDocument.mPlanned, aAt, &PlannedChange::mAt);
    return "/plannedChanges/" +
           std::to_string(found - mDocument.mPlanned.begin());
  }

  void Step(const EffectiveConfig& aConfig,
            WallTime aAt,
            const std::string& aPointer)
  {
    auto supplies = mContext.mEndpoints ? CountAnnounced(aConfig, aAt)
                                        : BoundByRules(aConfig);
    for (size_t i = 0; i < mDocument.mServices.size(); ++i) {
      const Service& service = mDocument.mServices[i];
      const std::string text = Shortage(service, supplies[service.mId]);
      if (text.empty()) {
        mShort.erase(service.mId);
      } else if (mShort.insert(service.mId).second) {
        const auto pointer =
          aPointer.empty() ? "/services/" + std::to_string(i) + "/minEndpoints"
                           : aPointer;
        mErrors.push_back({ pointer,
                            "service " + service.mName + " at " +
                              ToString(aAt) + ": " + text });
      }
    }
  }

  /// Counts announced endpoints; those usable since the first step are warm.
  std::map<ServiceId, Supply> CountAnnounced(const EffectiveConfig& aConfig,
                                             WallTime aAt)
  {
    std::map<ServiceId, Supply> supplies;
    for (const auto& endpoint : *mContext.mEndpoints) {
      const auto standing = aConfig.Standing(endpoint.mBackend);
      if (standing != BackendStanding::Admitted ||
          !aConfig.IsIn(endpoint.mDomain)) {
        mUsableSince.erase(endpoint.mBackend);
        continue;
      }
      const auto warm = aAt == mContext.mNow ? WallTime::min() : aAt;
      const auto since =
        mUsableSince.emplace(endpoint.mBackend, warm).first->second;
      const Service& service = aConfig.mServices.at(endpoint.mBackend.mService);
      Supply& supply = supplies[service.mId];
      ++supply.mEndpoints;
      if (since != WallTime::min() && aAt - since < service.mRamp) {
        ++supply.mCold;
        ++supply.mSlots;
      } else {
        supply.mSlots += std::min(endpoint.mSlots, service.mSlots);
      }
    }
    return supplies;
  }

  /// Without a list: the most that the rules and failure domains allow.
  std::map<ServiceId, Supply> BoundByRules(const EffectiveConfig& aConfig) const
  {
    const bool anyIn =
      std::ranges::any_of(aConfig.mDomains, [&](const auto& aItem) {
        return aConfig.IsIn(aItem.first);
      });
    std::map<ServiceId, Supply> supplies;
    for (const auto& item : aConfig.mServices) {
      const Service& service = item.second;
      Supply& supply = supplies[item.first];
      if (anyIn && service.mAdmission == AdmissionMode::Automatic) {
        supply.mEndpoints = std::numeric_limits<uint16_t>::max();
      } else if (anyIn) {
        supply.mEndpoints =
          std::ranges::count_if(aConfig.mRules, [&](const auto& aRule) {
            return aRule.first.mService == item.first &&
                   aRule.second == BackendRuleState::Admitted;
          });
      }
      supply.mSlots = supply.mEndpoints * service.mSlots;
    }
    return supplies;
  }

  static std::string Shortage(const Service& aService, const Supply& aSupply)
  {
    const uint64_t needed =
      uint64_t{ aService.mMinEndpoints } * aService.mSlots;
    std::string text;
    if (aSupply.mEndpoints < aService.mMinEndpoints) {
      text = std::to_string(aSupply.mEndpoints) +
             " usable endpoints, minEndpoints is " +
             std::to_string(aService.mMinEndpoints);
    }
    if (aSupply.mSlots < needed) {
      text += (text.empty() ? "" : "; ") + std::string("capacity ") +
              std::to_string(aSupply.mSlots) + " slots (" +
              std::to_string(aSupply.mEndpoints) + " endpoints, " +
              std::to_string(aSupply.mCold) + " of them cold), needs " +
              std::to_string(needed) + " (" +
              std::to_string(aService.mMinEndpoints) + " x " +
              std::to_string(aService.mSlots) + ")";
    }
    return text;
  }

  const Document& mDocument;
  const ValidationContext& mContext;
  std::vector<DocumentError>& mErrors;
  std::map<BackendTarget, WallTime> mUsableSince;
  std::set<ServiceId> mShort;
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
