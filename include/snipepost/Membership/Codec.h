#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Membership/Records.h>

namespace snipepost {

/// Largest exchange message that is parsed, in bytes. A view of 4,010
/// instances with three votes each is below 2 MB.
constexpr size_t kMaxExchangeBytes = 4U << 20U;

/// Writes a record as the JSON object that the store keeps.
std::string
WriteRecord(const InstanceRecord& aRecord);

/// Parses what WriteRecord wrote; nothing for any other text.
std::optional<InstanceRecord>
ParseRecord(std::string_view aText);

/// Writes an exchange message as JSON.
std::string
WriteExchange(const ExchangeMessage& aMessage);

/// Parses what WriteExchange wrote; nothing for malformed or oversized text.
std::optional<ExchangeMessage>
ParseExchange(std::string_view aText);

} // namespace snipepost
