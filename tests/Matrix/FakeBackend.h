#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tests/Matrix/Records.h>

namespace snipepost::matrix {

/// A backend server with 4 slots. It warms up linearly over kWarmUp and keeps a
/// journal. Requests take effect when they arrive.
class FakeBackend
{
public:
  static constexpr uint32_t kSlots = 4;
  static constexpr Duration kWarmUp = std::chrono::seconds(20);

  enum class Reply : uint8_t
  {
    Running,
    Refused,
    Shed
  };

  explicit FakeBackend(Instant aNow)
    : mColdSince(aNow)
  {
  }

  /// Completes aEntry's fields about the server and starts the request.
  Reply Arrive(JournalEntry& aEntry);

  /// Ends a request without a response; false when it doesn't run.
  bool Abort(RequestId aRequest) { return mRunning.erase(aRequest) > 0; }

  /// Ends all requests without responses and returns them.
  std::vector<RequestId> AbortAll();

  /// Starts a new life, which is cold.
  void Restart(Instant aNow);

  /// Becomes cold while aSilent tells whether the agent can know.
  void GoCold(Instant aNow, bool aSilent);

  void RefuseNext(uint32_t aCount) { mRefusals = aCount; }
  void ShedNext(uint32_t aCount) { mSheds = aCount; }
  void SetHanging(bool aHanging) { mHanging = aHanging; }

  std::optional<Instant> NextCompletion() const;

  /// Ends the requests that are complete at aNow; returns them with their
  /// responses.
  std::vector<std::pair<RequestId, std::string>> Complete(Instant aNow);

  std::vector<RequestId> Running() const;
  std::string Boot() const { return "boot-" + std::to_string(mLife); }
  std::string EarlierBoot() const
  {
    return "boot-" + std::to_string(mLife > 1 ? mLife - 1 : mLife);
  }
  double Warmth(Instant aNow) const;

private:
  struct Work
  {
    std::optional<Instant> mDone{};
    std::string mResponse{};
  };

  uint32_t Bound(Instant aNow) const;

  std::map<RequestId, Work> mRunning;
  Instant mColdSince;
  uint64_t mLife = 1;
  uint64_t mArrivals = 0;
  uint32_t mRefusals = 0;
  uint32_t mSheds = 0;
  bool mSilent = false;
  bool mHanging = false;
};

} // namespace snipepost::matrix
