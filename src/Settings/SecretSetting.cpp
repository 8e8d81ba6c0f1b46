#include <snipepost/Settings/Schema.h>

// Apart from the other parsers, so that programs without secrets do not link
// the library behind the keys.

namespace snipepost::parse {

std::string
Value(const std::string& aText, std::optional<SecretKey>& aOut)
{
  aOut.reset();
  if (aText.empty()) {
    return {};
  }
  aOut = ParseSecretKey(aText);
  return aOut ? "" : "expected 32 hexadecimal digits";
}

} // namespace snipepost::parse
