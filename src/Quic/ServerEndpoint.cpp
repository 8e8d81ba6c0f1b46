#include <snipepost/Quic/ServerEndpoint.h>

#include "src/Quic/ServerEndpointImpl.h"

namespace snipepost {

ServerEndpoint::ServerEndpoint(Credentials aCredentials,
                               const QuicLimits& aLimits,
                               const Address& aLocal,
                               RouteIdIssuer aIssuer,
                               DatagramSink aSink,
                               ServerEvents& aEvents)
  : mImpl(std::make_unique<Impl>(std::move(aCredentials),
                                 aLimits,
                                 aLocal,
                                 std::move(aIssuer),
                                 std::move(aSink),
                                 aEvents))
{
}

ServerEndpoint::~ServerEndpoint() = default;

bool
ServerEndpoint::ClaimsDatagram(std::span<const uint8_t> aPayload) const
{
  return mImpl->Find(aPayload) != nullptr;
}

std::optional<ConnectionHandle>
ServerEndpoint::OnDatagram(std::span<const uint8_t> aPayload,
                           const Address& aCaller,
                           Instant aNow)
{
  return mImpl->OnDatagram(aPayload, aCaller, aNow);
}

std::optional<ConnectionHandle>
ServerEndpoint::Accept(std::span<const uint8_t> aPayload,
                       const Address& aCaller,
                       Instant aNow)
{
  return mImpl->Accept(aPayload, aCaller, aNow);
}

void
ServerEndpoint::Refuse(std::span<const uint8_t> aPayload,
                       const Address& aCaller)
{
  mImpl->Refuse(aPayload, aCaller);
}

void
ServerEndpoint::SetResetTokens(ResetTokenIssuer aIssuer)
{
  mImpl->SetResetTokens(std::move(aIssuer));
}

void
ServerEndpoint::ResetUnknown(std::span<const uint8_t> aPayload,
                             const Address& aCaller)
{
  mImpl->ResetUnknown(aPayload, aCaller);
}

Instant
ServerEndpoint::NextDeadline() const
{
  return mImpl->NextDeadline();
}

void
ServerEndpoint::OnTimer(Instant aNow)
{
  mImpl->OnTimer(aNow);
}

void
ServerEndpoint::Flush(Instant aNow)
{
  mImpl->Flush(aNow);
}

bool
ServerEndpoint::Respond(RequestHandle aRequest,
                        const HttpFields& aFields,
                        bool aEnd)
{
  bool done = false;
  mImpl->OnStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    done = aConnection.SubmitResponse(aStream, aFields, aEnd);
  });
  return done;
}

size_t
ServerEndpoint::SendBody(RequestHandle aRequest,
                         std::span<const uint8_t> aBytes,
                         bool aEnd)
{
  size_t taken = 0;
  mImpl->OnStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    taken = aConnection.SendBody(aStream, aBytes, aEnd);
  });
  return taken;
}

void
ServerEndpoint::ConsumeBody(RequestHandle aRequest, size_t aCount)
{
  mImpl->OnStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    aConnection.Consume(aStream, aCount);
  });
}

void
ServerEndpoint::RejectRequest(RequestHandle aRequest)
{
  ResetRequest(aRequest, Http3Error::RequestRejected);
}

void
ServerEndpoint::ResetRequest(RequestHandle aRequest, Http3Error aError)
{
  mImpl->OnStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    aConnection.Discard(aStream, aError);
  });
}

void
ServerEndpoint::SendShutdownNotice()
{
  mImpl->Shutdown(ShutdownStage::Notice);
}

void
ServerEndpoint::Reopen()
{
  mImpl->Reopen();
}

void
ServerEndpoint::SendGoaway()
{
  mImpl->Shutdown(ShutdownStage::Goaway);
}

void
ServerEndpoint::Close(ConnectionHandle aFlow, Http3Error aError)
{
  mImpl->Close(aFlow, aError);
}

void
ServerEndpoint::CloseAll(Http3Error aError)
{
  mImpl->CloseAll(aError);
}

size_t
ServerEndpoint::ConnectionCount() const
{
  return mImpl->ConnectionCount();
}

size_t
ServerEndpoint::RequestCount(ConnectionHandle aFlow) const
{
  return mImpl->RequestCount(aFlow);
}

} // namespace snipepost
