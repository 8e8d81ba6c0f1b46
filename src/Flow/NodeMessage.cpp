#include <snipepost/Flow/NodeMessage.h>

#include <algorithm>
#include <array>
#include <utility>

#include <snipepost/Base/Bytes.h>

namespace snipepost::flow {

namespace {

constexpr uint16_t kMagic = 0x534e;
constexpr uint8_t kVersion = 1;

enum class Type : uint8_t
{
  Digest = 1,
  OfferReply = 2,
  OwnerNotice = 3,
  OwnerExclusion = 4,
  OfferReplyWithWaits = 5,
};

constexpr uint8_t kReplyWanted = 1;
constexpr uint8_t kAgentRole = 2;
constexpr std::array kRefusalNames = {
  "none",          "busy",      "full",   "cold",    "draining", "evacuated",
  "wrong-service", "not-ready", "silent", "failing", "queued",
};

// Values of the last byte of OfferReply. Nodes of the previous version read
// every value but kCold as not cold.
constexpr uint8_t kCold = 1;
constexpr uint8_t kAnnouncesWaits = 2;

// Priorities in OfferReplyWithWaits that carry values other than waits. Nodes
// of the previous version read them as waits of priorities that no flow has.
constexpr uint8_t kServiceTimeEntry = 255;
constexpr uint8_t kUtilisationEntry = 254;
constexpr uint16_t kMaxUtilisation = 1000;
static_assert(OfferReply::kMaxPriority < kUtilisationEntry);

void
WriteAddress(ByteWriter& aOut, const Address& aAddress)
{
  aOut.U32(aAddress.mIp);
  aOut.U16(aAddress.mPort);
}

Address
ReadAddress(ByteReader& aIn)
{
  Address address;
  address.mIp = aIn.U32();
  address.mPort = aIn.U16();
  return address;
}

void
WriteFlow(ByteWriter& aOut, const FlowTuple& aFlow)
{
  WriteAddress(aOut, aFlow.mCaller);
  WriteAddress(aOut, aFlow.mService);
}

FlowTuple
ReadFlow(ByteReader& aIn)
{
  FlowTuple flow;
  flow.mCaller = ReadAddress(aIn);
  flow.mService = ReadAddress(aIn);
  return flow;
}

uint16_t
Milliseconds(Duration aAge)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  return static_cast<uint16_t>(std::clamp<int64_t>(count, 0, UINT16_MAX));
}

void
WriteHeader(ByteWriter& aOut, Type aType)
{
  aOut.U16(kMagic);
  aOut.U8(kVersion);
  aOut.U8(static_cast<uint8_t>(aType));
}

// A version's epoch and revision share 64 bits: nodes of the previous build
// read them as one large revision. 48 bits last for millennia of writes at the
// store's rate limit.
constexpr unsigned kRevisionBits = 48;
constexpr uint64_t kRevisionMask = (uint64_t{ 1 } << kRevisionBits) - 1;

void
WriteVersion(ByteWriter& aOut, const cluster::PartVersion& aVersion)
{
  aOut.U8(aVersion.mLoaded ? 1 : 0);
  aOut.U64((aVersion.mEpoch.Value() << kRevisionBits) |
           (aVersion.mRevision.Value() & kRevisionMask));
  aOut.U32(aVersion.mContentHash);
}

cluster::PartVersion
ReadVersion(ByteReader& aIn)
{
  cluster::PartVersion version;
  version.mLoaded = aIn.U8() == 1;
  const uint64_t position = aIn.U64();
  version.mEpoch = cluster::Epoch(position >> kRevisionBits);
  version.mRevision = cluster::Revision(position & kRevisionMask);
  version.mContentHash = aIn.U32();
  return version;
}

void
Write(ByteWriter& aOut, const cluster::Digest& aDigest)
{
  WriteHeader(aOut, Type::Digest);
  const bool agent = aDigest.mRole == cluster::NodeRole::Agent;
  aOut.U8(static_cast<uint8_t>((aDigest.mReplyWanted ? kReplyWanted : 0) |
                               (agent ? kAgentRole : 0)));
  for (const cluster::PartVersion& part : aDigest.mParts) {
    WriteVersion(aOut, part);
  }
  const size_t watchers =
    std::min(aDigest.mWatchers.size(), cluster::Digest::kMaxWatchers);
  aOut.U8(static_cast<uint8_t>(watchers));
  for (size_t i = 0; i < watchers; ++i) {
    aOut.U32(aDigest.mWatchers[i].mNode.Value());
    aOut.U16(Milliseconds(aDigest.mWatchers[i].mAge));
  }
  const size_t entries =
    std::min(aDigest.mEntries.size(), cluster::Digest::kMaxEntries);
  aOut.U8(static_cast<uint8_t>(entries));
  for (size_t i = 0; i < entries; ++i) {
    aOut.U32(aDigest.mEntries[i].Value());
  }
}

bool
HasWaits(const OfferReply& aReply)
{
  return !aReply.mWaits.empty() || aReply.mRefusal == Refusal::Queued;
}

/// A priority or a reserved value of that byte, and what it carries.
using WaitEntry = std::pair<uint8_t, uint16_t>;

void
WriteWaits(ByteWriter& aOut, const OfferReply& aReply)
{
  std::vector<WaitEntry> entries;
  for (const ReportedWait& wait : aReply.mWaits) {
    entries.emplace_back(std::min(wait.mPriority, OfferReply::kMaxPriority),
                         Milliseconds(wait.mWait));
  }
  if (!entries.empty() && aReply.mServiceTime) {
    // Zero would be read as an unknown time.
    entries.emplace_back(
      kServiceTimeEntry,
      std::max<uint16_t>(Milliseconds(*aReply.mServiceTime), 1));
  }
  if (!entries.empty() && aReply.mUtilisation) {
    entries.emplace_back(kUtilisationEntry,
                         std::min(*aReply.mUtilisation, kMaxUtilisation));
  }
  const size_t count = std::min(entries.size(), OfferReply::kMaxWaits);
  aOut.U8(static_cast<uint8_t>(count));
  for (size_t i = 0; i < count; ++i) {
    aOut.U8(entries[i].first);
    aOut.U16(entries[i].second);
  }
}

void
ReadWaitEntry(ByteReader& aIn, OfferReply& aReply)
{
  const uint8_t kind = aIn.U8();
  const uint16_t value = aIn.U16();
  if (kind == kServiceTimeEntry) {
    aReply.mServiceTime = std::chrono::milliseconds(value);
  } else if (kind == kUtilisationEntry) {
    aReply.mUtilisation = std::min(value, kMaxUtilisation);
  } else {
    aReply.mWaits.push_back({ kind, std::chrono::milliseconds(value) });
  }
}

void
Write(ByteWriter& aOut, const OfferReply& aReply)
{
  const bool hasWaits = HasWaits(aReply);
  WriteHeader(aOut, hasWaits ? Type::OfferReplyWithWaits : Type::OfferReply);
  WriteFlow(aOut, aReply.mFlow);
  aOut.U32(aReply.mCallerSequence);
  aOut.U8(static_cast<uint8_t>(aReply.mRefusal));
  aOut.U32(aReply.mBackendSequence);
  aOut.U16(aReply.mLoad);
  aOut.U16(hasWaits ? std::min(aReply.mSlots, OfferReply::kMaxSlots)
                    : aReply.mSlots);
  if (hasWaits) {
    aOut.U8(aReply.mCold ? kCold : 0);
    WriteWaits(aOut, aReply);
    return;
  }
  const uint8_t announcement = aReply.mAnnouncesWaits ? kAnnouncesWaits : 0;
  aOut.U8(aReply.mCold ? kCold : announcement);
}

void
Write(ByteWriter& aOut, const OwnerNotice& aNotice)
{
  WriteHeader(aOut, Type::OwnerNotice);
  WriteFlow(aOut, aNotice.mFlow);
  aOut.U8(aNotice.mOwned ? 1 : 0);
}

void
Write(ByteWriter& aOut, const OwnerExclusion& aExclusion)
{
  WriteHeader(aOut, Type::OwnerExclusion);
  WriteFlow(aOut, aExclusion.mFlow);
  WriteVersion(aOut, aExclusion.mRecords);
}

std::optional<NodeMessage>
ReadDigest(ByteReader& aIn)
{
  cluster::Digest digest;
  const uint8_t flags = aIn.U8();
  digest.mReplyWanted = (flags & kReplyWanted) != 0;
  digest.mRole =
    (flags & kAgentRole) ? cluster::NodeRole::Agent : cluster::NodeRole::Entry;
  for (cluster::PartVersion& part : digest.mParts) {
    part = ReadVersion(aIn);
  }
  const size_t watchers = aIn.U8();
  if (watchers > cluster::Digest::kMaxWatchers) {
    return std::nullopt;
  }
  for (size_t i = 0; i < watchers; ++i) {
    const cluster::NodeIp node(aIn.U32());
    digest.mWatchers.push_back({ node, std::chrono::milliseconds(aIn.U16()) });
  }
  const size_t entries = aIn.U8();
  if (entries > cluster::Digest::kMaxEntries) {
    return std::nullopt;
  }
  for (size_t i = 0; i < entries; ++i) {
    digest.mEntries.emplace_back(aIn.U32());
  }
  return digest;
}

std::optional<OfferReply>
ReadReplyFields(ByteReader& aIn, Refusal aLastRefusal)
{
  OfferReply reply;
  reply.mFlow = ReadFlow(aIn);
  reply.mCallerSequence = aIn.U32();
  const uint8_t refusal = aIn.U8();
  if (refusal > static_cast<uint8_t>(aLastRefusal)) {
    return std::nullopt;
  }
  reply.mRefusal = static_cast<Refusal>(refusal);
  reply.mBackendSequence = aIn.U32();
  reply.mLoad = aIn.U16();
  reply.mSlots = aIn.U16();
  const uint8_t last = aIn.U8();
  reply.mCold = last == kCold;
  reply.mAnnouncesWaits = last == kAnnouncesWaits;
  return reply;
}

std::optional<NodeMessage>
ReadOfferReply(ByteReader& aIn)
{
  auto reply = ReadReplyFields(aIn, Refusal::Failing);
  return reply ? std::optional<NodeMessage>(std::move(*reply)) : std::nullopt;
}

std::optional<NodeMessage>
ReadOfferReplyWithWaits(ByteReader& aIn)
{
  auto reply = ReadReplyFields(aIn, Refusal::Queued);
  const size_t count = aIn.U8();
  if (!reply || count > OfferReply::kMaxWaits) {
    return std::nullopt;
  }
  reply->mAnnouncesWaits = true;
  for (size_t i = 0; i < count; ++i) {
    ReadWaitEntry(aIn, *reply);
  }
  return std::move(*reply);
}

std::optional<NodeMessage>
ReadOwnerNotice(ByteReader& aIn)
{
  OwnerNotice notice;
  notice.mFlow = ReadFlow(aIn);
  notice.mOwned = aIn.U8() == 1;
  return notice;
}

std::optional<NodeMessage>
ReadOwnerExclusion(ByteReader& aIn)
{
  OwnerExclusion exclusion;
  exclusion.mFlow = ReadFlow(aIn);
  exclusion.mRecords = ReadVersion(aIn);
  return exclusion;
}

} // namespace

std::string_view
ToString(Refusal aRefusal)
{
  return kRefusalNames.at(static_cast<size_t>(aRefusal));
}

std::vector<uint8_t>
EncodeMessage(const NodeMessage& aMessage)
{
  std::vector<uint8_t> bytes(kMaxNodeMessage);
  ByteWriter out(bytes);
  std::visit([&out](const auto& aValue) { Write(out, aValue); }, aMessage);
  bytes.resize(out.Used());
  return bytes;
}

std::optional<NodeMessage>
DecodeMessage(std::span<const uint8_t> aBytes)
{
  ByteReader in(aBytes);
  if (in.U16() != kMagic || in.U8() != kVersion) {
    return std::nullopt;
  }
  std::optional<NodeMessage> message;
  switch (static_cast<Type>(in.U8())) {
    case Type::Digest:
      message = ReadDigest(in);
      break;
    case Type::OfferReply:
      message = ReadOfferReply(in);
      break;
    case Type::OwnerNotice:
      message = ReadOwnerNotice(in);
      break;
    case Type::OwnerExclusion:
      message = ReadOwnerExclusion(in);
      break;
    case Type::OfferReplyWithWaits:
      message = ReadOfferReplyWithWaits(in);
      break;
  }
  if (!in.Ok() || !in.Rest().empty()) {
    return std::nullopt;
  }
  return message;
}

} // namespace snipepost::flow
