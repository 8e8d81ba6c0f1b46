#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Checks a document's text and returns its place in the order, or nothing
/// when the text is not a valid document of this deployment.
using DocumentInspector =
  std::function<std::optional<DocumentVersion>(const std::string&)>;

/// Holds the greatest document seen and gets greater ones: from the peer that
/// showed a higher generation, or from the store. Writes it back to a store
/// that has lost it.
class DocumentController : public Controller
{
public:
  explicit DocumentController(DocumentInspector aInspector);

  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

private:
  struct Context
  {
    Blackboard& mBoard;
    Instant mNow;
    Random& mRandom;
    MembershipEffects& mEffects;
  };

  void Handle(Context& aContext, const ClockTick&);
  void Handle(Context& aContext, const GenerationSeen& aEvent);
  void Handle(Context& aContext, const ExchangeEnded& aEvent);
  void Handle(Context& aContext, const DocumentFetched& aEvent);
  void Handle(Context& aContext, const StoreReadEnded& aEvent);
  void Handle(Context& aContext, const StoreWriteEnded& aEvent);
  void Handle(Context& aContext, const StoreListEnded& aEvent);
  template<typename Other>
  void Handle(Context&, const Other&)
  {
  }

  void PullFrom(Context& aContext, const Address& aPeer);
  void PullFailed(Context& aContext, const Address& aPeer);
  void Adopt(Context& aContext, const std::string& aText);
  void ReadStoreWhenDue(Context& aContext);
  void WriteBackWhenDue(Context& aContext);
  void ObserveStored(Context& aContext,
                     const std::optional<StoredObject>& aObject);

  DocumentInspector mInspector;

  /// Peers that showed a greater generation than the one held.
  std::map<Address, Generation> mAhead;
  std::optional<Address> mPulling;
  Instant mPullDeadline;
  Instant mNextPull;
  Backoff mPullDelay;
  Address mLastFailed;

  bool mReading = false;
  Instant mNextRead;
  Backoff mReadDelay;

  /// When this instance restores the document in a store that has lost it.
  std::optional<Instant> mWriteBackAt;
  StoreCondition mWriteBackCondition;
};

/// Key of the document's object in the store.
std::string
DocumentKey(const Blackboard& aBoard);

} // namespace snipepost
