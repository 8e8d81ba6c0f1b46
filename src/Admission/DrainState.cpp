#include <snipepost/Admission/DrainState.h>

namespace snipepost {

void
DrainState::Start(Instant aNow, bool aNotify)
{
  if (mStarted) {
    return;
  }
  mStarted = aNotify ? aNow : aNow - mOptions.mQueueTime;
}

void
DrainState::Stop()
{
  mStarted.reset();
  mPhase = Phase::Serving;
}

bool
DrainState::Advance(Instant aNow)
{
  const auto next = NextStep();
  if (!next || aNow < *next) {
    return false;
  }
  mPhase = static_cast<Phase>(static_cast<uint8_t>(mPhase) + 1);
  return true;
}

std::optional<Instant>
DrainState::NextStep() const
{
  if (!mStarted) {
    return std::nullopt;
  }
  switch (mPhase) {
    case Phase::Serving:
      return *mStarted;
    case Phase::Announced:
      return *mStarted + mOptions.mNoticeTime;
    case Phase::Closing:
      return *mStarted + mOptions.mQueueTime;
    case Phase::Emptying:
      break;
  }
  return std::nullopt;
}

} // namespace snipepost
