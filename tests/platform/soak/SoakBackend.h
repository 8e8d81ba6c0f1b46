#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Http1/Client.h>
#include <snipepost/Net/DatagramSocket.h>

#include "tests/platform/soak/Layout.h"
#include "tests/platform/soak/Promises.h"

namespace snipepost::soak {

/// A backend server: takes flows, runs one request on each, and reports to the
/// agent beside it. It may crash, drain and start again at the same address.
class SoakBackend final : public DatagramHandler
{
public:
  static constexpr size_t kSlots = 4;
  static constexpr size_t kQueue = 16;

  SoakBackend(asio::io_context& aContext,
              const Layout& aLayout,
              size_t aAgent,
              Promises& aPromises,
              uint64_t aSeed);

  /// Starts an incarnation, under the id of the earlier one if aSameId.
  void Start(bool aSameId);
  /// Ends without a word and forgets its flows.
  void Crash();
  /// Reports that it leaves, serves on for the bound, and deregisters.
  void Leave();
  bool Alive() const { return mAlive; }

  /// Called every few milliseconds.
  void Tick();

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;

private:
  struct Flow
  {
    uint32_t mCallerSequence = 0;
    uint32_t mOwnSequence = 0;
    bool mOpen = false;
    bool mAsked = false;
    /// The response, sent until the caller has acknowledged it.
    std::vector<std::string> mResponse;
    uint32_t mAcknowledged = 0;
    bool mEnded = false;
    Instant mNextRepeat;
    Duration mInterval{};
    uint32_t mRepeats = 0;
    uint32_t mCallerNext = 0;
  };

  struct Job
  {
    flow::FlowTuple mFlow;
    std::string mText;
  };

  void OnSyn(const flow::Packet& aPacket, std::span<const uint8_t> aBytes);
  void OnRequest(const flow::FlowTuple& aId,
                 Flow& aFlow,
                 const std::string& aText);
  void RunNext();
  void Finish(const Job& aJob);
  void SendResponse(const flow::FlowTuple& aId, const Flow& aFlow);
  void SendControl(const flow::FlowTuple& aId, const Flow& aFlow, bool aReset);
  void ReturnPacket(std::span<const uint8_t> aBytes);
  void ToAgent(std::span<const uint8_t> aBytes);
  void Beat();
  void Deregister();

  asio::io_context& mContext;
  const Layout& mLayout;
  size_t mAgent;
  Promises& mPromises;
  Random mRandom;
  DatagramSocket mSocket;
  std::unique_ptr<http1::Client> mControl;
  std::map<flow::FlowTuple, Flow> mFlows;
  std::deque<Job> mQueue;
  size_t mRunning = 0;
  bool mAlive = false;
  bool mDraining = false;
  LifeId mLife;
  std::string mId;
  uint64_t mBorn = 0;
  uint64_t mSequence = 0;
  Instant mNextBeat;
  Instant mColdUntil;
  std::optional<Instant> mLeaveAt;
};

} // namespace snipepost::soak
