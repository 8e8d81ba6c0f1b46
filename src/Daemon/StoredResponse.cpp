#include <src/Daemon/StoredResponse.h>

#include <vector>

#include <snipepost/Base/Bytes.h>

namespace snipepost {

namespace {

std::string
ReadText(ByteReader& aReader)
{
  const auto bytes = aReader.Take(aReader.U32());
  return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

void
WriteText(ByteWriter& aWriter, std::string_view aText)
{
  aWriter.U32(static_cast<uint32_t>(aText.size()));
  aWriter.Copy(
    { reinterpret_cast<const uint8_t*>(aText.data()), aText.size() });
}

} // namespace

std::string
PackResponse(const CompleteResponse& aResponse)
{
  size_t size = 8 + aResponse.mBody.size();
  for (const auto& [name, value] : aResponse.mHeaders) {
    size += 8 + name.size() + value.size();
  }
  std::string packed(size, '\0');
  ByteWriter writer(
    { reinterpret_cast<uint8_t*>(packed.data()), packed.size() });
  writer.U16(static_cast<uint16_t>(aResponse.mStatus));
  writer.U16(static_cast<uint16_t>(aResponse.mHeaders.size()));
  for (const auto& [name, value] : aResponse.mHeaders) {
    WriteText(writer, name);
    WriteText(writer, value);
  }
  WriteText(writer, aResponse.mBody);
  return packed;
}

std::optional<CompleteResponse>
UnpackResponse(std::string_view aBytes)
{
  ByteReader reader(
    { reinterpret_cast<const uint8_t*>(aBytes.data()), aBytes.size() });
  CompleteResponse response;
  response.mStatus = reader.U16();
  const uint16_t count = reader.U16();
  for (uint16_t i = 0; i < count && reader.Ok(); ++i) {
    std::string name = ReadText(reader);
    response.mHeaders.emplace_back(std::move(name), ReadText(reader));
  }
  response.mBody = ReadText(reader);
  if (!reader.Ok() || !reader.Rest().empty()) {
    return std::nullopt;
  }
  return response;
}

} // namespace snipepost
