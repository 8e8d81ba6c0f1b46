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
#include "tests/platform/soak/InvariantChecker.h"
#include "tests/platform/soak/SoakRouter.h"

namespace snipepost::soak {

/// Service address for new flows, and whether their requests may be retried.
struct CallerRoute
{
  Address mAddress;
  bool mIdempotent = true;
  /// The configuration contains the route, so its requests should be served.
  bool mConfigured = true;
};

/// Callers of all failure domains. Each request opens a flow. When a request
/// fails, it is retried on a new flow if it is idempotent or was not sent yet.
class SoakCallers
{
public:
  SoakCallers(asio::io_context& aContext,
              const Layout& aLayout,
              const LinkFaults& aFaults,
              const SoakRouter& aRouter,
              InvariantChecker& aInvariants,
              uint64_t aSeed);

  void SetRoutes(std::vector<CallerRoute> aRoutes)
  {
    mRoutes = std::move(aRoutes);
  }
  /// Requests started per second in each failure domain; 0 stops them.
  void SetRate(double aPerSecond) { mRate = aPerSecond; }
  /// Called every few milliseconds.
  void Tick();

  size_t Requests() const { return mRequests; }
  size_t Served() const { return mServed; }
  size_t Attempts() const { return mLastAttempt; }

private:
  struct Attempt
  {
    RequestAttempt mRequest;
    CallerRoute mRoute;
    uint32_t mAttemptsLeft = 0;
    size_t mDomain = 0;
    flow::FlowTuple mFlow;
    Instant mStart;
    uint32_t mSynRetransmissions = 0;
    uint32_t mSequence = 0;
    uint32_t mBackendSequence = 0;
    bool mEstablished = false;
    bool mDone = false;
    /// The backend server has acknowledged the request.
    bool mRequestAcknowledged = false;
    Instant mNextRetransmit;
    Duration mRetransmitInterval{};
    std::map<size_t, std::string> mSegments;
    size_t mSegmentCount = 0;
  };

  /// The socket of all callers of one failure domain.
  class DomainSocket final : public DatagramHandler
  {
  public:
    DomainSocket(SoakCallers& aCallers, size_t aDomain);
    void OnDatagram(std::span<const uint8_t> aBytes,
                    const Address& aFrom) override;
    void Send(std::span<const uint8_t> aBytes, const Address& aTo);

  private:
    SoakCallers& mCallers;
    DatagramSocket mSocket;
  };

  void StartRequest(size_t aDomain);
  void StartAttempt(Attempt aAttempt);
  void OnPacket(std::span<const uint8_t> aBytes);
  void OnData(Attempt& aAttempt,
              const flow::Packet& aPacket,
              std::string aData);
  void SendSyn(Attempt& aAttempt);
  void SendRequest(Attempt& aAttempt);
  void SendAck(Attempt& aAttempt, bool aFin);
  void Send(const Attempt& aAttempt, std::span<const uint8_t> aBytes);
  void TickAttempt(Attempt& aAttempt);
  void Fail(Attempt& aAttempt);

  asio::io_context& mContext;
  const Layout& mLayout;
  const LinkFaults& mFaults;
  const SoakRouter& mRouter;
  InvariantChecker& mInvariants;
  Random mRandom;
  std::array<std::unique_ptr<DomainSocket>, Layout::kDomains> mDomainSockets;
  std::vector<CallerRoute> mRoutes;
  double mRate = 0.0;
  std::array<double, Layout::kDomains> mRequestsDue{};
  Instant mLastTick;
  std::map<flow::FlowTuple, Attempt> mAttempts;
  uint64_t mLastRequest = 0;
  uint64_t mLastAttempt = 0;
  uint16_t mNextPort = 1024;
  size_t mRequests = 0;
  size_t mServed = 0;
};

} // namespace snipepost::soak
