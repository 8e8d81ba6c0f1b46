#include <snipepost/Base/Address.h>

#include <array>
#include <charconv>
#include <limits>

namespace snipepost {

namespace {

std::optional<uint32_t>
ParseNumber(std::string_view aText, uint32_t aMax)
{
  uint32_t value = 0;
  const char* end = aText.data() + aText.size();
  auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || rest != end || value > aMax) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::optional<Address>
ParseAddress(std::string_view aText)
{
  constexpr std::array<char, 4> kSeparators{ '.', '.', '.', ':' };
  Address address;
  for (char separator : kSeparators) {
    const size_t at = aText.find(separator);
    if (at == std::string_view::npos) {
      return std::nullopt;
    }
    const auto part = ParseNumber(aText.substr(0, at), 255);
    if (!part) {
      return std::nullopt;
    }
    address.mIp = (address.mIp << 8) | *part;
    aText.remove_prefix(at + 1);
  }
  const auto port = ParseNumber(aText, std::numeric_limits<uint16_t>::max());
  if (!port || *port == 0) {
    return std::nullopt;
  }
  address.mPort = static_cast<uint16_t>(*port);
  return address;
}

std::string
ToString(const Address& aAddress)
{
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((aAddress.mIp >> shift) & 0xff);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(aAddress.mPort);
}

} // namespace snipepost
