#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <snipepost/Membership/Codec.h>
#include <snipepost/Membership/MembershipCore.h>

namespace snipepost::fake {

/// A document's text in these tests is "generation/submission".
inline std::optional<DocumentVersion>
ParseDocumentVersion(const std::string& aText)
{
  const size_t slash = aText.find('/');
  if (slash == std::string::npos || slash == 0) {
    return std::nullopt;
  }
  return DocumentVersion{ Generation(std::stoull(aText.substr(0, slash))),
                          SubmissionId(aText.substr(slash + 1)) };
}

/// Fake of the platform's object API in virtual time, with injectable faults.
class Store
{
public:
  bool mDown = false;
  /// Extra delay of every response.
  Duration mDelay{};
  /// Watches report no changes until they time out.
  bool mWatchesStalled = false;
  /// Number of writes that take effect although their response is lost.
  unsigned mLoseAnswers = 0;
  uint64_t mRevision = 0;
  std::map<std::string, StoredObject> mObjects;
  uint64_t mReads = 0;
  uint64_t mWrites = 0;
  /// Calls left before the rate limit refuses them; watches don't count.
  uint64_t mReadsLeft = UINT64_MAX;
  uint64_t mWritesLeft = UINT64_MAX;

  ObjectOutcome Write(const StoreWrite& aWrite, ObjectVersion& aVersion)
  {
    ++mWrites;
    if (mDown || !TakeToken(mWritesLeft)) {
      return ObjectOutcome::Refused;
    }
    const auto found = mObjects.find(aWrite.mKey);
    const StoreCondition current =
      found == mObjects.end() ? StoreCondition() : found->second.mVersion;
    if (current != aWrite.mCondition) {
      return ObjectOutcome::Conflict;
    }
    aVersion = ObjectVersion(++mRevision);
    mObjects[aWrite.mKey] = { aWrite.mKey, aVersion, aWrite.mValue };
    if (mLoseAnswers > 0) {
      --mLoseAnswers;
      return ObjectOutcome::Unknown;
    }
    return ObjectOutcome::Done;
  }

  StoreReadEnded Read(const std::string& aKey)
  {
    ++mReads;
    if (mDown || !TakeToken(mReadsLeft)) {
      return { aKey, ObjectOutcome::Refused, {} };
    }
    const auto found = mObjects.find(aKey);
    if (found == mObjects.end()) {
      return { aKey, ObjectOutcome::Absent, {} };
    }
    return { aKey, ObjectOutcome::Done, found->second };
  }

  /// Objects below the prefix that changed after aSince.
  StoreListEnded List(const std::string& aPrefix, uint64_t aSince)
  {
    ++mReads;
    StoreListEnded list{
      aPrefix, ObjectOutcome::Done, aSince == 0, mRevision, {}
    };
    if (mDown || (aSince == 0 && !TakeToken(mReadsLeft))) {
      list.mOutcome = ObjectOutcome::Refused;
      return list;
    }
    for (const auto& [key, object] : mObjects) {
      if (key.starts_with(aPrefix) && object.mVersion.Value() > aSince) {
        list.mObjects.push_back(object);
      }
    }
    return list;
  }

private:
  static bool TakeToken(uint64_t& aLeft)
  {
    if (aLeft == 0) {
      return false;
    }
    --aLeft;
    return true;
  }
};

/// Membership cores connected by a simulated network in virtual time.
class Fleet
{
public:
  explicit Fleet(uint64_t aSeed)
    : mRandom(aSeed)
    , mSeed(aSeed)
  {
    mOptions.mDeployment = "test";
  }

  Store mStore;
  MembershipOptions mOptions;
  Duration mDelay = std::chrono::milliseconds(4);
  /// Returns true when packets from the first to the second instance are lost.
  std::function<bool(const Address&, const Address&)> mCut =
    [](const Address&, const Address&) { return false; };
  /// Percentage of packets and exchanges that are lost, percentage of packets
  /// that arrive twice, and maximum extra delay, which reorders packets.
  uint64_t mLoss = 0;
  uint64_t mDuplication = 0;
  Duration mJitter{};
  /// Called when the document or the view of an instance has changed.
  std::function<void(const Address&)> mOnChange = [](const Address&) {};
  /// Returns true when the instance can't reach the store.
  std::function<bool(const Address&)> mStoreCut = [](const Address&) {
    return false;
  };
  std::function<uint8_t(const Address&)> mRegionOf = [](const Address&) {
    return uint8_t{ 0 };
  };
  /// Time between the ticks of each core.
  Duration mStep = std::chrono::milliseconds(20);
  /// Optional hook, called for each effect of a core.
  std::function<void(const Address&, const MembershipEffect&)> mOnEffect;
  /// Optional hook, called for each exchange message or reply with sender and
  /// receiver.
  std::function<void(const Address&, const Address&, const ExchangeMessage&)>
    mOnMessage;
  /// Optional hook, called after a core has handled an event, with the value
  /// of mClock when it began. The event is null for an exchange message.
  std::function<void(const Address&, const MembershipEvent*, Duration)>
    mOnHandled;
  std::function<Duration()> mClock;
  /// Total bytes of exchange messages in both directions.
  uint64_t mExchangeBytes = 0;
  /// Total bytes of pulled documents.
  uint64_t mDocumentBytes = 0;
  /// Off by default: encoding messages takes most of the time of a large test.
  bool mCountBytes = false;

  static Address At(size_t aIndex)
  {
    return { 0x7f000000U + static_cast<uint32_t>(aIndex >> 14U),
             static_cast<uint16_t>(1024 + (aIndex & 0x3fffU)) };
  }

  MembershipCore& Start(size_t aIndex,
                        InstanceRole aRole,
                        uint64_t aIncarnation = 1,
                        DomainId aDomain = DomainId(1))
  {
    InstanceRecord own;
    own.mRole = aRole;
    own.mAddress = At(aIndex);
    own.mDomain = aDomain;
    own.mRegion = mRegionOf(own.mAddress);
    own.mService = ServiceId(aRole == InstanceRole::Agent ? 1 : 0);
    own.mState = InstanceState::Ready;
    own.mVersion = { Incarnation(aIncarnation), 0 };
    auto core = std::make_unique<MembershipCore>(
      mOptions, own, ParseDocumentVersion, mSeed * 1000003 + aIndex);
    auto& slot = mCores[own.mAddress];
    slot = std::move(core);
    ++mStartCounts[own.mAddress];
    return *slot;
  }

  MembershipCore& Start(const InstanceRecord& aOwn)
  {
    auto& slot = mCores[aOwn.mAddress];
    slot = std::make_unique<MembershipCore>(
      mOptions,
      aOwn,
      ParseDocumentVersion,
      mSeed * 1000003 + aOwn.mAddress.mPort +
        aOwn.mVersion.mIncarnation.Value() * 7919);
    mPaused.erase(aOwn.mAddress);
    ++mStartCounts[aOwn.mAddress];
    return *slot;
  }

  bool IsRunning(const Address& aAddress) const
  {
    return mCores.contains(aAddress) && !mPaused.contains(aAddress);
  }

  void Feed(const Address& aTo, const MembershipEvent& aEvent)
  {
    const Duration start = mClock ? mClock() : Duration{};
    const auto effects = mCores.at(aTo)->Handle(aEvent, mNow);
    if (mOnHandled) {
      mOnHandled(aTo, &aEvent, start);
    }
    for (const auto& effect : effects) {
      if (mOnEffect) {
        mOnEffect(aTo, effect);
      }
      std::visit([&](const auto& aOne) { Perform(aTo, aOne); }, effect);
    }
  }

  void Kill(size_t aIndex) { mCores.erase(At(aIndex)); }
  void Pause(size_t aIndex) { mPaused.insert(At(aIndex)); }
  void Resume(size_t aIndex) { mPaused.erase(At(aIndex)); }
  MembershipCore& Core(size_t aIndex) { return *mCores.at(At(aIndex)); }
  Instant Now() const { return mNow; }
  uint64_t ProbesTo(size_t aIndex) { return mProbes[At(aIndex)]; }

  std::map<Address, std::unique_ptr<MembershipCore>>& Cores() { return mCores; }

  /// Runs until the condition holds or the limit is reached; returns the
  /// elapsed time.
  Duration RunUntil(Duration aLimit, const std::function<bool()>& aCondition)
  {
    const Instant start = mNow;
    while (mNow - start < aLimit && !aCondition()) {
      Advance();
    }
    return mNow - start;
  }

  void Run(Duration aTime)
  {
    RunUntil(aTime, [] { return false; });
  }

  bool AllHaveGeneration(uint64_t aGeneration) const
  {
    for (const auto& [address, core] : mCores) {
      if (core->Board().mDocument.mVersion.mGeneration.Value() != aGeneration) {
        return false;
      }
    }
    return true;
  }

private:
  struct Message
  {
    Address mTo;
    /// Start count of mTo that the message is for; 0 for packets, which are
    /// delivered to any incarnation.
    uint64_t mStartCount = 0;
    std::function<void()> mDeliver;
  };

  void Advance()
  {
    std::vector<Message> deferred;
    mNow += mStep;
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      auto message = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      if (!mCores.contains(message.mTo) ||
          (message.mStartCount != 0 &&
           message.mStartCount != mStartCounts[message.mTo])) {
        continue;
      }
      if (mPaused.contains(message.mTo)) {
        deferred.push_back(std::move(message)); // As in a socket buffer.
      } else {
        message.mDeliver();
      }
    }
    for (Message& message : deferred) {
      mQueue.emplace(mNow, std::move(message));
    }
    std::vector<Address> live;
    for (const auto& [address, core] : mCores) {
      if (IsRunning(address)) {
        live.push_back(address);
      }
    }
    for (const Address& address : live) {
      Feed(address, ClockTick{});
    }
    FireWatches();
  }

  void Post(const Address& aTo, Duration aDelay, std::function<void()> aDeliver)
  {
    mQueue.emplace(mNow + aDelay,
                   Message{ aTo, mStartCounts[aTo], std::move(aDeliver) });
  }

  bool Lost() { return mLoss > 0 && mRandom.Below(100) < mLoss; }

  /// Sends a packet subject to loss, delay and duplication.
  void PostPacket(const Address& aTo, const std::function<void()>& aDeliver)
  {
    if (Lost()) {
      return;
    }
    const bool twice = mDuplication > 0 && mRandom.Below(100) < mDuplication;
    for (int i = twice ? 2 : 1; i > 0; --i) {
      mQueue.emplace(mNow + NetworkDelay(), Message{ aTo, 0, aDeliver });
    }
  }

  Duration NetworkDelay()
  {
    return mDelay +
           Duration(mRandom.Below(static_cast<uint64_t>(mJitter.count()) + 1));
  }

  void ReplyFromStore(const Address& aTo, MembershipEvent aEvent)
  {
    Post(aTo, mDelay + mStore.mDelay, [this, aTo, event = std::move(aEvent)] {
      Feed(aTo, event);
    });
  }

  void Reply(const Address& aTo, MembershipEvent aEvent)
  {
    Post(aTo, mDelay, [this, aTo, event = std::move(aEvent)] {
      Feed(aTo, event);
    });
  }

  void Perform(const Address& aFrom, const SendProbe& aProbe)
  {
    const Address target = aProbe.mTarget;
    ++mProbes[target];
    if (mCut(aFrom, target)) {
      return;
    }
    PostPacket(target, [this, aFrom, target, generation = GenerationOf(aFrom)] {
      Feed(target, ProbeReceived{ aFrom });
      Feed(target, GenerationSeen{ aFrom, generation });
      if (mCut(target, aFrom)) {
        return;
      }
      PostPacket(aFrom,
                 [this, aFrom, target, generation = GenerationOf(target)] {
                   Feed(aFrom, GenerationSeen{ target, generation });
                   Feed(aFrom, ProbeReplyReceived{ target });
                 });
    });
  }

  Generation GenerationOf(const Address& aAddress) const
  {
    return mCores.at(aAddress)->Board().mDocument.mVersion.mGeneration;
  }

  void Perform(const Address& aFrom, const SendExchange& aSend)
  {
    const Address target = aSend.mTo;
    if (!IsRunning(target) || Lost() || mCut(aFrom, target) ||
        mCut(target, aFrom)) {
      Reply(aFrom, ExchangeEnded{ target, std::nullopt });
      return;
    }
    ObserveMessage(aFrom, target, aSend.mMessage);
    Post(
      target, NetworkDelay(), [this, aFrom, target, message = aSend.mMessage] {
        const Duration start = mClock ? mClock() : Duration{};
        const auto reply = mCores.at(target)->ReplyToExchange(message, mNow);
        if (mOnHandled) {
          mOnHandled(target, nullptr, start);
        }
        ObserveMessage(target, aFrom, reply);
        Reply(aFrom, ExchangeEnded{ target, reply });
      });
  }

  void Perform(const Address& aFrom, const PullDocument& aPull)
  {
    const Address target = aPull.mFrom;
    if (!IsRunning(target) || Lost() || mCut(aFrom, target) ||
        mCut(target, aFrom)) {
      Reply(aFrom, DocumentPullEnded{ target, std::nullopt });
      return;
    }
    Post(target, mDelay, [this, aFrom, target] {
      const std::string text = mCores.at(target)->Board().mDocument.mText;
      mDocumentBytes += text.size();
      Reply(aFrom, DocumentPullEnded{ target, text });
    });
  }

  void Perform(const Address& aFrom, const StoreRead& aRead)
  {
    if (mStoreCut(aFrom)) {
      Reply(aFrom, StoreReadEnded{ aRead.mKey, ObjectOutcome::Refused, {} });
      return;
    }
    ReplyFromStore(aFrom, mStore.Read(aRead.mKey));
  }

  void Perform(const Address& aFrom, const StoreWrite& aWrite)
  {
    StoreWriteEnded ended{ aWrite.mKey, ObjectOutcome::Unknown, {} };
    ended.mOutcome = mStoreCut(aFrom) ? ObjectOutcome::Refused
                                      : mStore.Write(aWrite, ended.mVersion);
    ReplyFromStore(aFrom, ended);
  }

  void Perform(const Address& aFrom, const StoreList& aList)
  {
    if (mStoreCut(aFrom)) {
      Reply(
        aFrom,
        StoreListEnded{ aList.mPrefix, ObjectOutcome::Refused, true, 0, {} });
      return;
    }
    ReplyFromStore(aFrom, mStore.List(aList.mPrefix, 0));
  }

  void Perform(const Address& aFrom, const StoreWatch& aWatch)
  {
    ++mStore.mReads;
    mWatches.push_back(
      { aFrom, mStartCounts[aFrom], aWatch, mNow + std::chrono::seconds(25) });
  }

  void Perform(const Address& aFrom, const DocumentAdopted&)
  {
    mOnChange(aFrom);
  }
  void Perform(const Address& aFrom, const ViewChanged&) { mOnChange(aFrom); }

  void FireWatches()
  {
    std::deque<Watch> waiting;
    for (const Watch& watch : std::exchange(mWatches, {})) {
      auto list = mStore.List(watch.mWatch.mPrefix, watch.mWatch.mSince);
      --mStore.mReads; // Already counted when the watch was started.
      list.mComplete = false;
      const bool expired = mNow >= watch.mLimit;
      const bool hasResult = !list.mObjects.empty() ||
                             list.mOutcome != ObjectOutcome::Done ||
                             mStoreCut(watch.mOwner);
      if (mStore.mWatchesStalled) {
        list = { watch.mWatch.mPrefix, ObjectOutcome::Unknown, false, 0, {} };
      }
      const bool completes = expired || (hasResult && !mStore.mWatchesStalled);
      if (mStoreCut(watch.mOwner)) {
        list.mOutcome = ObjectOutcome::Refused;
        list.mObjects.clear();
      }
      if (!completes) {
        waiting.push_back(watch);
      } else if (watch.mStartCount == mStartCounts[watch.mOwner]) {
        ReplyFromStore(watch.mOwner, std::move(list));
      }
    }
    mWatches.insert(mWatches.end(), waiting.begin(), waiting.end());
  }

  void ObserveMessage(const Address& aFrom,
                      const Address& aTo,
                      const ExchangeMessage& aMessage)
  {
    if (mOnMessage) {
      mOnMessage(aFrom, aTo, aMessage);
    }
    if (mCountBytes) {
      mExchangeBytes += WriteExchange(aMessage).size();
    }
  }

  struct Watch
  {
    Address mOwner;
    uint64_t mStartCount = 0;
    StoreWatch mWatch;
    Instant mLimit;
  };

  Random mRandom;
  uint64_t mSeed;
  Instant mNow = Instant(std::chrono::seconds(1000));
  std::map<Address, std::unique_ptr<MembershipCore>> mCores;
  std::map<Address, uint64_t> mStartCounts;
  std::set<Address> mPaused;
  std::map<Address, uint64_t> mProbes;
  std::multimap<Instant, Message> mQueue;
  std::deque<Watch> mWatches;
};

} // namespace snipepost::fake
