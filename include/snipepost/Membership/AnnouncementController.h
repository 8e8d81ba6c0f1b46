#pragma once

#include <optional>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Keeps this instance's own record in the store with a lease, and tells until
/// when the instance may act on it. A lost answer is settled by reading back.
class AnnouncementController : public Controller
{
public:
  AnnouncementController();

  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

  /// True when a later life of this instance has taken over its key. It must
  /// not act any more.
  bool Superseded() const { return mSuperseded; }

private:
  /// The call to the store that is in flight.
  enum class Call
  {
    None,
    Read,
    Write,
  };

  void OnTick(Blackboard& aBoard, Instant aNow, MembershipEffects& aEffects);
  void OnRead(Blackboard& aBoard,
              const StoreReadEnded& aEvent,
              Instant aNow,
              Random& aRandom);
  void OnWrite(Blackboard& aBoard,
               const StoreWriteEnded& aEvent,
               Instant aNow,
               Random& aRandom);
  void OnProbe(Blackboard& aBoard,
               const ProbeReceived& aEvent,
               Instant aNow) const;
  void Renewed(Blackboard& aBoard, Instant aNow, Random& aRandom);
  void Failed(Blackboard& aBoard, Instant aNow, Random& aRandom);

  Call mCall = Call::None;
  bool mKnowsStored = false; ///< The stored version has been read.
  StoreCondition mStored;
  RecordVersion mPublished; ///< What the last successful write carried.
  RecordVersion mWriting;
  Instant mCallStarted;
  Instant mNextCall;
  Backoff mDelay;
  bool mSuperseded = false;
};

/// Key of an instance's record in the store.
std::string
RecordKey(const InstanceRecord& aRecord);

} // namespace snipepost
