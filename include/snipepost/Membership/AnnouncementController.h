#pragma once

#include <optional>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Publishes this instance's own record in the store under a lease and tracks
/// when the lease ends. After a write with an unknown outcome, the record is
/// read back.
class AnnouncementController : public Controller
{
public:
  AnnouncementController();

  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

  /// True when the store holds a record of a later incarnation of this
  /// instance; this incarnation must then stop acting.
  bool Superseded() const { return mSuperseded; }

private:
  /// The store call in flight.
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
  void OnRenewed(Blackboard& aBoard, Instant aNow, Random& aRandom);
  void OnFailed(Blackboard& aBoard, Instant aNow, Random& aRandom);

  Call mCall = Call::None;
  bool mStoredVersionRead = false; ///< mStoredVersion is up to date.
  StoreCondition mStoredVersion;
  RecordVersion mPublished;       ///< Version in the last successful write.
  RecordVersion mVersionInFlight; ///< Version in the write in flight.
  Instant mCallStarted;
  Instant mNextCall;
  Backoff mDelay;
  bool mSuperseded = false;
};

/// Key of an instance's record in the store.
std::string
RecordKey(const InstanceRecord& aRecord);

} // namespace snipepost
