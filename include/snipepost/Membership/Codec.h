#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Membership/Records.h>

namespace snipepost {

/// Largest exchange message that is parsed, in bytes. A view of 4,010
/// instances with three votes each is below 2 MB.
constexpr size_t kMaxExchangeBytes = 4U << 20U;

/// Serializes a record to the JSON object kept in the store.
std::string
WriteRecord(const InstanceRecord& aRecord);

/// Parses the output of WriteRecord; returns nothing for malformed or
/// oversized text.
std::optional<InstanceRecord>
ParseRecord(std::string_view aText);

/// Serializes an exchange message to JSON.
std::string
WriteExchange(const ExchangeMessage& aMessage);

/// Parses the output of WriteExchange; returns nothing for malformed or
/// oversized text.
std::optional<ExchangeMessage>
ParseExchange(std::string_view aText);

} // namespace snipepost
