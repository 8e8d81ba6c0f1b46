#include <snipepost/Settings/Schema.h>

// In a file of its own, so that programs without secret settings do not need to
// link libsodium.

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
