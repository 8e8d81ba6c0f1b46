#include <snipepost/Membership/Codec.h>

#include <limits>

#include <boost/json.hpp>

namespace snipepost {

namespace json = boost::json;

namespace {

/// Limit of buckets, records or votes in one message.
constexpr size_t kMaxItems = 20000;

json::array
VersionToJson(const RecordVersion& aVersion)
{
  return { aVersion.mIncarnation.Value(), aVersion.mSequence };
}

json::object
RecordToJson(const InstanceRecord& aRecord)
{
  return { { "role", static_cast<unsigned>(aRecord.mRole) },
           { "address", ToString(aRecord.mAddress) },
           { "domain", aRecord.mDomain.Value() },
           { "region", aRecord.mRegion },
           { "service", aRecord.mService.Value() },
           { "slots", aRecord.mSlots },
           { "state", static_cast<unsigned>(aRecord.mState) },
           { "version", VersionToJson(aRecord.mVersion) } };
}

json::object
VoteToJson(const HealthVote& aVote)
{
  return { { "target", ToString(aVote.mTarget) },
           { "prober", ToString(aVote.mProber) },
           { "down", aVote.mDown },
           { "version", VersionToJson(aVote.mVersion) } };
}

/// Reads typed members of a JSON object; after any error Ok() is false.
class ObjectReader
{
public:
  explicit ObjectReader(const json::value& aValue)
    : mObject(aValue.if_object())
  {
    mOk = mObject != nullptr;
  }

  uint64_t ToNumber(const json::value* aValue, uint64_t aMax)
  {
    uint64_t number = 0;
    if (aValue && aValue->is_uint64()) {
      number = aValue->get_uint64();
    } else if (aValue && aValue->is_int64() && aValue->get_int64() >= 0) {
      number = static_cast<uint64_t>(aValue->get_int64());
    } else {
      mOk = false;
    }
    mOk = mOk && number <= aMax;
    return mOk ? number : 0;
  }

  template<typename Unsigned>
  Unsigned ReadUnsigned(const char* aName,
                        Unsigned aMax = std::numeric_limits<Unsigned>::max())
  {
    return static_cast<Unsigned>(ToNumber(Find(aName), aMax));
  }

  bool ReadBool(const char* aName)
  {
    const json::value* value = Find(aName);
    mOk = mOk && value && value->is_bool();
    return mOk && value->get_bool();
  }

  std::string ReadString(const char* aName)
  {
    const json::value* value = Find(aName);
    mOk = mOk && value && value->is_string();
    return mOk ? std::string(value->get_string()) : std::string();
  }

  Address ReadAddress(const char* aName)
  {
    const auto address = ParseAddress(ReadString(aName));
    mOk = mOk && address;
    return address.value_or(Address{});
  }

  RecordVersion ReadVersion(const char* aName)
  {
    const json::array* pair = ReadArray(aName);
    mOk = mOk && pair->size() == 2;
    if (!mOk) {
      return {};
    }
    const uint64_t incarnation =
      ToNumber(&(*pair)[0], std::numeric_limits<uint64_t>::max());
    const uint64_t sequence =
      ToNumber(&(*pair)[1], std::numeric_limits<uint32_t>::max());
    return { Incarnation(incarnation), static_cast<uint32_t>(sequence) };
  }

  const json::array* ReadArray(const char* aName)
  {
    static const json::array sEmpty;
    const json::value* value = Find(aName);
    mOk = mOk && value && value->is_array() &&
          value->get_array().size() <= kMaxItems;
    return mOk ? &value->get_array() : &sEmpty;
  }

  bool Ok() const { return mOk; }

private:
  const json::value* Find(const char* aName)
  {
    const json::value* value = mOk ? mObject->if_contains(aName) : nullptr;
    mOk = mOk && value;
    return value;
  }

  const json::object* mObject;
  bool mOk = true;
};

std::optional<InstanceRecord>
RecordFromJson(const json::value& aValue)
{
  ObjectReader reader(aValue);
  InstanceRecord record;
  record.mRole =
    static_cast<InstanceRole>(reader.ReadUnsigned<uint8_t>("role", 1));
  record.mAddress = reader.ReadAddress("address");
  record.mDomain = DomainId(reader.ReadUnsigned<uint8_t>("domain"));
  record.mRegion = reader.ReadUnsigned<uint8_t>("region");
  record.mService = ServiceId(reader.ReadUnsigned<uint16_t>("service"));
  record.mSlots = reader.ReadUnsigned<uint16_t>("slots");
  record.mState =
    static_cast<InstanceState>(reader.ReadUnsigned<uint8_t>("state", 3));
  record.mVersion = reader.ReadVersion("version");
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return record;
}

std::optional<HealthVote>
VoteFromJson(const json::value& aValue)
{
  ObjectReader reader(aValue);
  HealthVote vote;
  vote.mTarget = reader.ReadAddress("target");
  vote.mProber = reader.ReadAddress("prober");
  vote.mDown = reader.ReadBool("down");
  vote.mVersion = reader.ReadVersion("version");
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return vote;
}

/// Parses all elements; returns false when one of them is malformed.
template<typename Item, typename Parse>
bool
ParseAll(const json::array& aArray, Parse aParse, std::vector<Item>& aOut)
{
  for (const json::value& value : aArray) {
    auto item = aParse(value);
    if (!item) {
      return false;
    }
    aOut.push_back(*std::move(item));
  }
  return true;
}

std::optional<json::value>
ParseJson(std::string_view aText, size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return std::nullopt;
  }
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  if (error) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
WriteRecord(const InstanceRecord& aRecord)
{
  return json::serialize(RecordToJson(aRecord));
}

std::optional<InstanceRecord>
ParseRecord(std::string_view aText)
{
  constexpr size_t kMaxRecordBytes = 4096;
  const auto value = ParseJson(aText, kMaxRecordBytes);
  return value ? RecordFromJson(*value) : std::nullopt;
}

std::string
WriteExchange(const ExchangeMessage& aMessage)
{
  json::array buckets(aMessage.mBuckets.begin(), aMessage.mBuckets.end());
  json::array records;
  for (const InstanceRecord& record : aMessage.mRecords) {
    records.push_back(RecordToJson(record));
  }
  json::array votes;
  for (const HealthVote& vote : aMessage.mVotes) {
    votes.push_back(VoteToJson(vote));
  }
  return json::serialize(json::object{
    { "from", ToString(aMessage.mFrom) },
    { "generation", aMessage.mDocumentVersion.mGeneration.Value() },
    { "submission", aMessage.mDocumentVersion.mSubmission.Value() },
    { "digest", aMessage.mDigest },
    { "buckets", std::move(buckets) },
    { "records", std::move(records) },
    { "votes", std::move(votes) } });
}

std::optional<ExchangeMessage>
ParseExchange(std::string_view aText)
{
  const auto value = ParseJson(aText, kMaxExchangeBytes);
  if (!value) {
    return std::nullopt;
  }
  ObjectReader reader(*value);
  ExchangeMessage message;
  message.mFrom = reader.ReadAddress("from");
  message.mDocumentVersion = { Generation(
                                 reader.ReadUnsigned<uint64_t>("generation")),
                               SubmissionId(reader.ReadString("submission")) };
  message.mDigest = reader.ReadUnsigned<uint64_t>("digest");
  const json::array* buckets = reader.ReadArray("buckets");
  for (const json::value& bucket : *buckets) {
    message.mBuckets.push_back(
      reader.ToNumber(&bucket, std::numeric_limits<uint64_t>::max()));
  }
  const bool complete =
    ParseAll(*reader.ReadArray("records"), RecordFromJson, message.mRecords) &&
    ParseAll(*reader.ReadArray("votes"), VoteFromJson, message.mVotes);
  if (!complete || !reader.Ok()) {
    return std::nullopt;
  }
  return message;
}

} // namespace snipepost
