#include <src/Daemon/ResponseSink.h>

namespace snipepost {

void
CallerSink::Start(int aStatus, const http2::Headers& aHeaders)
{
  HttpFields fields{ { ":status", std::to_string(aStatus) } };
  for (const auto& [name, value] : aHeaders) {
    fields.push_back({ name, value });
  }
  mEndpoint.Respond(mRequest, fields, false);
}

size_t
CallerSink::Write(std::span<const uint8_t> aBytes)
{
  return mEndpoint.SendBody(mRequest, aBytes, false);
}

void
CallerSink::End()
{
  mEndpoint.SendBody(mRequest, {}, true);
}

void
CallerSink::Reject()
{
  mEndpoint.RejectRequest(mRequest);
}

void
CallerSink::Abort()
{
  mEndpoint.ResetRequest(mRequest, Http3Error::InternalError);
}

void
RelaySink::Start(int aStatus, const http2::Headers& aHeaders)
{
  mResponder->Start(aStatus, aHeaders);
}

size_t
RelaySink::Write(std::span<const uint8_t> aBytes)
{
  mResponder->Write(http2::AsText(aBytes));
  return aBytes.size();
}

void
RelaySink::End()
{
  mResponder->End();
}

void
RelaySink::Reject()
{
  mResponder->Respond(
    kRelayNotRunStatus, { { kRelayOutcomeHeader, kRelayNotRun } }, {});
}

void
RelaySink::Abort()
{
  mResponder->Reset(http2::ResetCode::InternalError);
}

} // namespace snipepost
