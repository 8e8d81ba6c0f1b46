#pragma once

#include <optional>

#include "tests/Flow/FlowModel.h"

namespace snipepost::flow {

/// Calls the OnTimer() of an instance's core when it is due.
template<typename Core>
class FlowModel::Timer
{
public:
  Timer(FlowModel& aModel, Core& aCore)
    : mModel(aModel)
    , mCore(aCore)
  {
  }

  void Schedule()
  {
    const auto deadline = mCore.NextDeadline();
    // Only one timer is armed; when it fires, it arms the next.
    if (!deadline || (mArmedFor && *mArmedFor <= *deadline)) {
      return;
    }
    mArmedFor = *deadline;
    mModel.ScheduleAt(*deadline, [this, due = *deadline] {
      if (mArmedFor != due) {
        return;
      }
      mArmedFor.reset();
      mCore.OnTimer(mModel.mNow);
      Schedule();
    });
  }

  void Disarm() { mArmedFor.reset(); }

private:
  FlowModel& mModel;
  Core& mCore;
  std::optional<Instant> mArmedFor;
};

} // namespace snipepost::flow
