#include <snipepost/Http1/Message.h>

#include <algorithm>
#include <cctype>

namespace snipepost::http1 {

namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char aFirst, char aSecond) {
    return std::tolower(static_cast<unsigned char>(aFirst)) ==
           std::tolower(static_cast<unsigned char>(aSecond));
  });
}

} // namespace

std::string_view
Response::Header(std::string_view aName) const
{
  const auto found =
    std::ranges::find_if(mHeaders, [aName](const HeaderField& aField) {
      return EqualIgnoringCase(aField.mName, aName);
    });
  return found == mHeaders.end() ? std::string_view() : found->mValue;
}

} // namespace snipepost::http1
