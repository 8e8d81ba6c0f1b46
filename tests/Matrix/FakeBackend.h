#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tests/Matrix/Records.h>

namespace snipepost::matrix {

/// Fake of a backend server with 4 slots that warms up linearly over kWarmUp.
/// Requests take effect when they arrive.
class FakeBackend
{
public:
  static constexpr uint32_t kSlots = 4;
  static constexpr Duration kWarmUp = std::chrono::seconds(20);

  enum class ArrivalResult : uint8_t
  {
    Running,
    Refused,
    Shed
  };

  explicit FakeBackend(Instant aNow)
    : mColdSince(aNow)
  {
  }

  /// Sets the fields of aEntry that describe the server and its response, and
  /// starts the request unless it is refused or shed.
  ArrivalResult HandleArrival(JournalEntry& aEntry);

  /// Ends a request without a response; returns false when it isn't running.
  bool Abort(RequestId aRequest) { return mRunning.erase(aRequest) > 0; }

  /// Ends all running requests without responses and returns them.
  std::vector<RequestId> AbortAll();

  /// Starts a new incarnation, which is cold.
  void Restart(Instant aNow);

  /// Turns cold. aSilently is true when no event shows this to the agent.
  void TurnCold(Instant aNow, bool aSilently);

  void RefuseNext(uint32_t aCount) { mRefusals = aCount; }
  void ShedNext(uint32_t aCount) { mSheds = aCount; }
  void SetHanging(bool aHanging) { mHanging = aHanging; }

  std::optional<Instant> NextCompletion() const;

  /// Ends the requests that are complete at aNow and returns them with their
  /// responses.
  std::vector<std::pair<RequestId, std::string>> Complete(Instant aNow);

  std::vector<RequestId> Running() const;
  std::string Boot() const { return "boot-" + std::to_string(mIncarnation); }
  std::string PreviousBoot() const
  {
    return "boot-" +
           std::to_string(mIncarnation > 1 ? mIncarnation - 1 : mIncarnation);
  }
  double Warmth(Instant aNow) const;

private:
  struct RunningRequest
  {
    std::optional<Instant> mCompletesAt{};
    std::string mResponse{};
  };

  uint32_t Capacity(Instant aNow) const;

  std::map<RequestId, RunningRequest> mRunning;
  Instant mColdSince;
  uint64_t mIncarnation = 1;
  uint64_t mArrivals = 0;
  uint32_t mRefusals = 0;
  uint32_t mSheds = 0;
  bool mTurnedColdSilently = false;
  bool mHanging = false;
};

} // namespace snipepost::matrix
