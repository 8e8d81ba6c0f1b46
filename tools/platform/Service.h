#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>
#include <boost/json.hpp>

#include <snipepost/Http2/Server.h>

#include "RateLimit.h"
#include "Store.h"
#include "tools/common/Journal.h"
#include "tools/common/Query.h"

namespace snipepost::tools {

struct ServiceOptions
{
  Address mListen;
  std::string mJournal;
  double mWritesPerSecond = 0.0;
  double mReadsPerSecond = 0.0;
};

/// The faults that `POST /fault` sets; members that are absent there keep
/// their values.
struct Faults
{
  bool mOutage = false;
  Duration mDelay{ 0 };
  /// The next so many writes take effect, but their answers are lost.
  uint64_t mLoseAnswers = 0;
  /// The next so many writes are lost before they take effect.
  uint64_t mLoseWrites = 0;
  /// Lost means that the stream stays silent rather than being reset.
  bool mSilent = false;
  bool mStallWatches = false;
};

/// The object API of section 6 and its control interface.
class Service
{
public:
  /// Starts listening; throws when that or the journal fails.
  Service(asio::io_context& aContext, const ServiceOptions& aOptions);

  Address LocalAddress() const { return mServer.LocalAddress(); }

private:
  using ResponderPointer = std::shared_ptr<http2::Responder>;

  struct PendingWatch
  {
    std::string mPrefix;
    uint64_t mSince = 0;
    Instant mDeadline;
    ResponderPointer mResponder;
  };

  void OnRequest(const http2::ServerRequest& aRequest,
                 const ResponderPointer& aResponder);
  void OnRead(const Target& aTarget, const ResponderPointer& aResponder);
  void OnWatch(const Target& aTarget, const ResponderPointer& aResponder);
  void OnWrite(const http2::ServerRequest& aRequest,
               const std::string& aKey,
               const ResponderPointer& aResponder);
  void OnFault(const http2::ServerRequest& aRequest,
               const ResponderPointer& aResponder);
  bool SetFaults(const boost::json::object& aFaults);
  boost::json::object DescribeFaults() const;

  void Tick();
  /// Answers the watches that have something to report or are over.
  void AnswerWatches();
  void EndWatches(int aStatus);
  void WriteJournal(const Change& aChange, std::string_view aOperation);

  void Answer(const ResponderPointer& aResponder,
              int aStatus,
              const boost::json::value& aBody);
  void Lose(const ResponderPointer& aResponder);

  asio::io_context& mContext;
  Store mStore;
  Journal mJournal;
  RateLimit mReads;
  RateLimit mWrites;
  Faults mFaults;
  std::list<PendingWatch> mWatches;
  /// Responders that a silent loss keeps from being answered.
  std::vector<ResponderPointer> mSilenced;
  asio::steady_timer mTimer;
  uint64_t mReadCount = 0;
  uint64_t mWriteCount = 0;
  uint64_t mLimitedCount = 0;
  http2::Server mServer;
};

} // namespace snipepost::tools
