#include "src/Quic/Connection.h"

#include <algorithm>

#include "src/Quic/ConnectionCallbacks.h"

namespace snipepost {

namespace {

// nghttp3 copies the fields, although it takes pointers to non-const bytes.
std::vector<nghttp3_nv>
ToNameValues(const HttpFields& aFields)
{
  std::vector<nghttp3_nv> out;
  out.reserve(aFields.size());
  for (const HttpField& field : aFields) {
    auto bytes = [](const std::string& aText) {
      return reinterpret_cast<uint8_t*>(const_cast<char*>(aText.data()));
    };
    out.push_back({ bytes(field.mName),
                    bytes(field.mValue),
                    field.mName.size(),
                    field.mValue.size(),
                    NGHTTP3_NV_FLAG_NONE });
  }
  return out;
}

} // namespace

Stream*
Connection::FindStream(int64_t aId)
{
  const auto found = mStreams.find(aId);
  return found == mStreams.end() ? nullptr : found->second.get();
}

std::vector<int64_t>
Connection::StreamIds() const
{
  std::vector<int64_t> ids;
  for (const auto& [id, stream] : mStreams) {
    ids.push_back(id);
  }
  return ids;
}

bool
Connection::SubmitResponse(Stream& aStream,
                           const HttpFields& aFields,
                           bool aFin)
{
  if (mHttp == nullptr || mCloseReason || aStream.mResponded ||
      aStream.mDiscarded) {
    return false;
  }
  const auto fields = ToNameValues(aFields);
  const nghttp3_data_reader reader{ ReadOutgoingBody };
  aStream.mResponded =
    nghttp3_conn_submit_response(mHttp,
                                 aStream.mId,
                                 fields.data(),
                                 fields.size(),
                                 aFin ? nullptr : &reader) == 0;
  if (aFin) {
    aStream.mBody.End();
  }
  return aStream.mResponded;
}

Stream*
Connection::SubmitRequest(const HttpFields& aFields,
                          std::span<const uint8_t> aBody)
{
  int64_t id = -1;
  if (mHttp == nullptr || mCloseReason || mGoawayReceived ||
      ngtcp2_conn_open_bidi_stream(mConn, &id, nullptr) != 0) {
    return nullptr;
  }
  auto owned = std::make_unique<Stream>();
  Stream* stream = owned.get();
  stream->mId = id;
  stream->mBody.Append(aBody, aBody.size());
  stream->mBody.End();
  mStreams[id] = std::move(owned);
  const auto fields = ToNameValues(aFields);
  const nghttp3_data_reader reader{ ReadOutgoingBody };
  if (nghttp3_conn_submit_request(mHttp,
                                  id,
                                  fields.data(),
                                  fields.size(),
                                  aBody.empty() ? nullptr : &reader,
                                  nullptr) != 0) {
    Discard(*stream, Http3Error::InternalError);
    return nullptr;
  }
  return stream;
}

size_t
Connection::SendBody(Stream& aStream,
                     std::span<const uint8_t> aBytes,
                     bool aFin)
{
  if (mHttp == nullptr || mCloseReason || !aStream.mResponded ||
      aStream.mDiscarded || aStream.mBody.Ended()) {
    return 0;
  }
  const size_t accepted = aStream.mBody.Append(aBytes, mLimits.mSendBuffer);
  if (accepted < aBytes.size()) {
    aStream.mNotifyWritable = true;
  } else if (aFin) {
    aStream.mBody.End();
  }
  nghttp3_conn_resume_stream(mHttp, aStream.mId);
  return accepted;
}

void
Connection::Consume(Stream& aStream, size_t aCount)
{
  if (mConn == nullptr || mCloseReason) {
    return;
  }
  const size_t count = std::min(aCount, aStream.mUnconsumed);
  aStream.mUnconsumed -= count;
  ngtcp2_conn_extend_max_stream_offset(mConn, aStream.mId, count);
  ngtcp2_conn_extend_max_offset(mConn, count);
}

void
Connection::Discard(Stream& aStream, Http3Error aError)
{
  aStream.mDiscarded = true;
  if (mConn != nullptr && !mCloseReason) {
    ngtcp2_conn_shutdown_stream(
      mConn, aStream.mId, static_cast<uint64_t>(aError));
  }
}

void
Connection::SubmitShutdownNotice()
{
  if (mHttp != nullptr && !mCloseReason) {
    nghttp3_conn_submit_shutdown_notice(mHttp);
  }
}

void
Connection::SubmitGoaway()
{
  if (mHttp != nullptr && !mCloseReason) {
    nghttp3_conn_shutdown(mHttp);
  }
}

} // namespace snipepost
