#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Validates a document's text and returns its version, or nothing when the
/// text is not a valid document of this deployment.
using DocumentValidator =
  std::function<std::optional<DocumentVersion>(const std::string&)>;

/// Keeps the document with the greatest version seen. Pulls newer ones from
/// peers that reported a greater generation and reads them from the store.
/// Writes the document back to a store that has lost it.
class DocumentController : public Controller
{
public:
  explicit DocumentController(DocumentValidator aValidator);

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
  void Handle(Context& aContext, const DocumentPullEnded& aEvent);
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
  void CompareWithStored(Context& aContext,
                         const std::optional<StoredObject>& aObject);

  DocumentValidator mValidator;

  /// Peers that reported a greater generation than that of the current
  /// document.
  std::map<Address, Generation> mPeersAhead;
  std::optional<Address> mPullPeer; ///< Peer of the pull in flight.
  Instant mPullDeadline;
  Instant mNextPull;
  Backoff mPullDelay;
  Address mLastFailedPeer;

  bool mReading = false;
  Instant mNextRead;
  Backoff mReadDelay;

  /// When this instance writes the document back to a store that has lost it.
  std::optional<Instant> mWriteBackAt;
  StoreCondition mWriteBackCondition;
};

/// Key of the document's object in the store.
std::string
DocumentKey(const Blackboard& aBoard);

} // namespace snipepost
