#include <snipepost/Quic/ServerEndpoint.h>

#include "src/Quic/ServerEndpointImpl.h"

namespace snipepost {

ServerEndpoint::ServerEndpoint(Credentials aCredentials,
                               const QuicLimits& aLimits,
                               const Address& aLocal,
                               ConnectionIdGenerator aIdGenerator,
                               DatagramSink aSink,
                               ServerEvents& aEvents)
  : mImpl(std::make_unique<Impl>(std::move(aCredentials),
                                 aLimits,
                                 aLocal,
                                 std::move(aIdGenerator),
                                 std::move(aSink),
                                 aEvents))
{
}

ServerEndpoint::~ServerEndpoint() = default;

bool
ServerEndpoint::HasConnectionFor(std::span<const uint8_t> aPayload) const
{
  return mImpl->FindByDatagram(aPayload) != nullptr;
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
ServerEndpoint::SetResetTokenGenerator(ResetTokenGenerator aGenerator)
{
  mImpl->SetResetTokenGenerator(std::move(aGenerator));
}

void
ServerEndpoint::SendStatelessReset(std::span<const uint8_t> aPayload,
                                   const Address& aCaller)
{
  mImpl->SendStatelessReset(aPayload, aCaller);
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
                        bool aFin)
{
  bool done = false;
  mImpl->WithStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    done = aConnection.SubmitResponse(aStream, aFields, aFin);
  });
  return done;
}

size_t
ServerEndpoint::SendBody(RequestHandle aRequest,
                         std::span<const uint8_t> aBytes,
                         bool aFin)
{
  size_t accepted = 0;
  mImpl->WithStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
    accepted = aConnection.SendBody(aStream, aBytes, aFin);
  });
  return accepted;
}

void
ServerEndpoint::ConsumeBody(RequestHandle aRequest, size_t aCount)
{
  mImpl->WithStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
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
  mImpl->WithStream(aRequest, [&](Connection& aConnection, Stream& aStream) {
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
