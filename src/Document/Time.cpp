#include <snipepost/Document/Time.h>

#include <cstdio>

namespace snipepost {

using namespace std::chrono;

namespace {

/// Hour (UTC) at which operators are in the offices; see NextWorkdayMorning().
constexpr hours kStaffedHour{ 9 };

/// True if aText has a digit wherever aPattern has '0' and is equal elsewhere.
bool
MatchesPattern(std::string_view aText, std::string_view aPattern)
{
  if (aText.size() != aPattern.size()) {
    return false;
  }
  for (size_t i = 0; i < aText.size(); ++i) {
    const bool digit = aText[i] >= '0' && aText[i] <= '9';
    if (aPattern[i] == '0' ? !digit : aText[i] != aPattern[i]) {
      return false;
    }
  }
  return true;
}

int
ParseDigits(std::string_view aText, size_t aStart, size_t aCount)
{
  int value = 0;
  for (const char c : aText.substr(aStart, aCount)) {
    value = value * 10 + (c - '0');
  }
  return value;
}

} // namespace

std::optional<WallTime>
ParseTime(std::string_view aText)
{
  if (!MatchesPattern(aText, "0000-00-00T00:00:00Z")) {
    return std::nullopt;
  }
  const year_month_day date(year(ParseDigits(aText, 0, 4)),
                            month(unsigned(ParseDigits(aText, 5, 2))),
                            day(unsigned(ParseDigits(aText, 8, 2))));
  const int hour = ParseDigits(aText, 11, 2);
  const int minute = ParseDigits(aText, 14, 2);
  const int second = ParseDigits(aText, 17, 2);
  if (!date.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  return sys_days(date) + hours(hour) + minutes(minute) + seconds(second);
}

std::string
ToString(WallTime aTime)
{
  const auto midnight = floor<days>(aTime);
  const year_month_day date(midnight);
  const hh_mm_ss clock(aTime - midnight);
  char text[64];
  std::snprintf(text,
                sizeof text,
                "%04d-%02u-%02uT%02d:%02d:%02dZ",
                int(date.year()),
                unsigned(date.month()),
                unsigned(date.day()),
                int(clock.hours().count()),
                int(clock.minutes().count()),
                int(clock.seconds().count()));
  return text;
}

WallTime
NextWorkdayMorning(WallTime aNow)
{
  auto date = floor<days>(aNow) + days(1);
  while (weekday(date) == Saturday || weekday(date) == Sunday) {
    date += days(1);
  }
  return date + kStaffedHour;
}

} // namespace snipepost
