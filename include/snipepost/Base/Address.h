#pragma once

#include <cstdint>
#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snipepost {

/// An IPv4 address and a UDP or TCP port, both in host byte order.
struct Address
{
  uint32_t mIp = 0;
  uint16_t mPort = 0;

  auto operator<=>(const Address&) const = default;

  /// True for the default value, which stands for no address.
  bool IsNull() const { return mIp == 0 && mPort == 0; }
};

/// Parses "a.b.c.d:port". Returns nothing when the text is not exactly that,
/// when the port is 0 or above 65535, or when a part of the IP is above 255.
std::optional<Address>
ParseAddress(std::string_view aText);

/// Writes the address as "a.b.c.d:port".
std::string
ToString(const Address& aAddress);

} // namespace snipepost

template<>
struct std::hash<snipepost::Address>
{
  size_t operator()(const snipepost::Address& aAddress) const noexcept
  {
    return std::hash<uint64_t>{}((uint64_t{ aAddress.mIp } << 16) |
                                 aAddress.mPort);
  }
};
