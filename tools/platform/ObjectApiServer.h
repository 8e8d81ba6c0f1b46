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

struct ObjectApiServerOptions
{
  Address mListen;
  std::string mJournal;
  double mWritesPerSecond = 0.0;
  double mReadsPerSecond = 0.0;
};

/// The faults that `POST /fault` sets; members that the request omits keep
/// their values.
struct Faults
{
  bool mOutage = false;
  Duration mDelay{ 0 };
  /// Number of next writes that take effect but whose responses are lost.
  uint64_t mResponsesToLose = 0;
  /// Number of next writes that are lost before they take effect.
  uint64_t mWritesToLose = 0;
  /// Streams of lost requests and responses stay open instead of being reset.
  bool mSilent = false;
  bool mStallWatches = false;
};

/// Emulates the platform's object API (docs/design.md, section 6) and serves
/// the control interface /fault.
class ObjectApiServer
{
public:
  /// Starts listening; throws when that or the journal fails.
  ObjectApiServer(asio::io_context& aContext,
                  const ObjectApiServerOptions& aOptions);

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
  /// Responds to the watches that have changes to report or have expired.
  void CompleteWatches();
  void FailWatches(int aStatus);
  void WriteJournal(const Change& aChange, std::string_view aOperation);

  void SendResponse(const ResponderPointer& aResponder,
                    int aStatus,
                    const boost::json::value& aBody);
  void DropWithoutResponse(const ResponderPointer& aResponder);

  asio::io_context& mContext;
  Store mStore;
  Journal mJournal;
  RateLimit mReads;
  RateLimit mWrites;
  Faults mFaults;
  std::list<PendingWatch> mWatches;
  /// Responders of lost requests and responses, kept open without a response.
  std::vector<ResponderPointer> mUnansweredResponders;
  asio::steady_timer mTimer;
  uint64_t mReadCount = 0;
  uint64_t mWriteCount = 0;
  uint64_t mLimitedCount = 0;
  http2::Server mServer;
};

} // namespace snipepost::tools
