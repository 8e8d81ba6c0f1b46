#include <tests/Matrix/FakeBackend.h>

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace snipepost::matrix {

FakeBackend::ArrivalResult
FakeBackend::HandleArrival(JournalEntry& aEntry)
{
  const uint64_t number = ++mArrivals;
  const auto running = static_cast<uint32_t>(mRunning.size()) + 1;
  aEntry.mRunning = running;
  aEntry.mCapacity = Capacity(aEntry.mAt);
  aEntry.mSilentlyCold = mTurnedColdSilently;
  aEntry.mResponse = "response-" + std::to_string(number);
  const bool overloaded = mTurnedColdSilently && running > aEntry.mCapacity;
  if (mRefusals > 0 || (overloaded && number % 2 == 0)) {
    mRefusals -= mRefusals > 0 ? 1 : 0;
    return ArrivalResult::Refused;
  }
  aEntry.mRan = true;
  if (mSheds > 0 || overloaded) {
    mSheds -= mSheds > 0 ? 1 : 0;
    return ArrivalResult::Shed;
  }
  RunningRequest work{ .mResponse = aEntry.mResponse };
  if (!mHanging) {
    work.mCompletesAt =
      aEntry.mAt + 50ms + 150ms * static_cast<int>(number % 5);
  }
  mRunning[aEntry.mRequest] = work;
  return ArrivalResult::Running;
}

std::vector<RequestId>
FakeBackend::AbortAll()
{
  auto aborted = Running();
  mRunning.clear();
  return aborted;
}

void
FakeBackend::Restart(Instant aNow)
{
  ++mIncarnation;
  mRefusals = 0;
  mSheds = 0;
  mHanging = false;
  TurnCold(aNow, false);
}

void
FakeBackend::TurnCold(Instant aNow, bool aSilently)
{
  mColdSince = aNow;
  mTurnedColdSilently = aSilently;
}

std::optional<Instant>
FakeBackend::NextCompletion() const
{
  std::optional<Instant> next;
  for (const auto& [id, work] : mRunning) {
    if (work.mCompletesAt && (!next || *work.mCompletesAt < *next)) {
      next = work.mCompletesAt;
    }
  }
  return next;
}

std::vector<std::pair<RequestId, std::string>>
FakeBackend::Complete(Instant aNow)
{
  std::vector<std::pair<RequestId, std::string>> done;
  for (const auto& [id, work] : mRunning) {
    if (work.mCompletesAt && *work.mCompletesAt <= aNow) {
      done.emplace_back(id, work.mResponse);
    }
  }
  for (const auto& [id, response] : done) {
    mRunning.erase(id);
  }
  return done;
}

std::vector<RequestId>
FakeBackend::Running() const
{
  std::vector<RequestId> ids;
  for (const auto& [id, work] : mRunning) {
    ids.push_back(id);
  }
  return ids;
}

double
FakeBackend::Warmth(Instant aNow) const
{
  const auto elapsed = static_cast<double>((aNow - mColdSince).count());
  return std::clamp(elapsed / static_cast<double>(kWarmUp.count()), 0.0, 1.0);
}

uint32_t
FakeBackend::Capacity(Instant aNow) const
{
  return 1 + static_cast<uint32_t>((kSlots - 1) * Warmth(aNow));
}

} // namespace snipepost::matrix
