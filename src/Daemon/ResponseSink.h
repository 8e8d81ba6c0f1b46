#pragma once

#include <memory>
#include <span>
#include <string>

#include <snipepost/Http2/Server.h>
#include <snipepost/Quic/ServerEndpoint.h>

namespace snipepost {

/// Destination of the response to a request.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;

  virtual void Start(int aStatus, const http2::Headers& aHeaders) = 0;

  /// Writes body bytes and returns how many were accepted; the rest is written
  /// again when flow control allows it.
  virtual size_t Write(std::span<const uint8_t> aBytes) = 0;

  virtual void End() = 0;

  /// Reports to the caller that the request did not run.
  virtual void Reject() = 0;

  /// Aborts a response that was started.
  virtual void Abort() = 0;
};

/// Responds on a request stream of a caller's connection.
class CallerSink : public ResponseSink
{
public:
  CallerSink(ServerEndpoint& aEndpoint, const RequestHandle& aRequest)
    : mEndpoint(aEndpoint)
    , mRequest(aRequest)
  {
  }

  void Start(int aStatus, const http2::Headers& aHeaders) override;
  size_t Write(std::span<const uint8_t> aBytes) override;
  void End() override;
  void Reject() override;
  void Abort() override;

private:
  ServerEndpoint& mEndpoint;
  RequestHandle mRequest;
};

/// Status and header by which an agent reports to another one that a relayed
/// request did not run.
constexpr int kRelayNotRunStatus = 421;
inline constexpr const char* kRelayOutcomeHeader = "snipepost-outcome";
inline constexpr const char* kRelayNotRun = "not-run";

/// Responds to another agent that relayed a request.
class RelaySink : public ResponseSink
{
public:
  explicit RelaySink(std::shared_ptr<http2::Responder> aResponder)
    : mResponder(std::move(aResponder))
  {
  }

  void Start(int aStatus, const http2::Headers& aHeaders) override;
  size_t Write(std::span<const uint8_t> aBytes) override;
  void End() override;
  void Reject() override;
  void Abort() override;

private:
  std::shared_ptr<http2::Responder> mResponder;
};

} // namespace snipepost
