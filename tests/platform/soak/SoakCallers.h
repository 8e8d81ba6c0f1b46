#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Net/DatagramSocket.h>

#include "tests/platform/soak/LinkFaults.h"
#include "tests/platform/soak/Promises.h"
#include "tests/platform/soak/SoakRouter.h"

namespace snipepost::soak {

/// Where new flows go, and whether their requests may be repeated.
struct CallerRoute
{
  Address mAddress;
  bool mRepeatable = true;
  /// The configuration has it, so that its requests should be served.
  bool mExpected = true;
};

/// Callers of all failure domains: each request opens a flow, and is tried
/// again on another flow as its kind allows.
class SoakCallers
{
public:
  SoakCallers(asio::io_context& aContext,
              const Layout& aLayout,
              const LinkFaults& aFaults,
              const SoakRouter& aRouter,
              Promises& aPromises,
              uint64_t aSeed);

  void SetRoutes(std::vector<CallerRoute> aRoutes)
  {
    mRoutes = std::move(aRoutes);
  }
  /// New requests a second of each failure domain; 0 ends them.
  void SetRate(double aPerSecond) { mRate = aPerSecond; }
  /// Called every few milliseconds.
  void Tick();

  size_t Asked() const { return mAsked; }
  size_t Served() const { return mServed; }
  size_t Attempts() const { return mNextAttempt; }

private:
  struct Attempt
  {
    RequestId mRequest;
    CallerRoute mRoute;
    uint32_t mTriesLeft = 0;
    size_t mDomain = 0;
    flow::FlowTuple mFlow;
    Instant mStart;
    uint32_t mCopies = 0;
    uint32_t mSequence = 0;
    uint32_t mBackendSequence = 0;
    bool mOpen = false;
    bool mDone = false;
    /// The backend server has acknowledged the request.
    bool mTaken = false;
    Instant mNextRepeat;
    Duration mInterval{};
    std::map<size_t, std::string> mSegments;
    size_t mExpected = 0;
  };

  /// The callers of one failure domain.
  class Side final : public DatagramHandler
  {
  public:
    Side(SoakCallers& aCallers, size_t aDomain);
    void OnDatagram(std::span<const uint8_t> aBytes,
                    const Address& aFrom) override;
    void Send(std::span<const uint8_t> aBytes, const Address& aTo);

  private:
    SoakCallers& mCallers;
    DatagramSocket mSocket;
  };

  void Ask(size_t aDomain);
  void StartAttempt(Attempt aAttempt);
  void OnPacket(std::span<const uint8_t> aBytes);
  void OnData(Attempt& aAttempt,
              const flow::Packet& aPacket,
              std::string aData);
  void SendSyn(Attempt& aAttempt);
  void SendRequest(Attempt& aAttempt);
  void SendAck(Attempt& aAttempt, bool aFin);
  void Send(const Attempt& aAttempt, std::span<const uint8_t> aBytes);
  void StepAttempt(Attempt& aAttempt);
  void Fail(Attempt& aAttempt);

  asio::io_context& mContext;
  const Layout& mLayout;
  const LinkFaults& mFaults;
  const SoakRouter& mRouter;
  Promises& mPromises;
  Random mRandom;
  std::array<std::unique_ptr<Side>, Layout::kDomains> mSides;
  std::vector<CallerRoute> mRoutes;
  double mRate = 0.0;
  std::array<double, Layout::kDomains> mOwed{};
  Instant mLastTick;
  std::map<flow::FlowTuple, Attempt> mAttempts;
  uint64_t mNextOrder = 0;
  uint64_t mNextAttempt = 0;
  uint16_t mNextPort = 1024;
  size_t mAsked = 0;
  size_t mServed = 0;
};

} // namespace snipepost::soak
