#include "tools/callers/Journal.h"

#include <algorithm>
#include <fstream>

#include <boost/json.hpp>

namespace snipepost::tools {

namespace json = boost::json;

namespace {

std::string
StringMember(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

} // namespace

bool
JournalSummary::AddFile(const std::string& aFile, const std::string& aService)
{
  std::ifstream in(aFile);
  if (!in) {
    return false;
  }
  bool hasLines = false;
  for (std::string line; std::getline(in, line); hasLines = true) {
    AddLine(line, aService);
  }
  if (!hasLines) {
    mServices[aService][aFile];
  }
  return true;
}

void
JournalSummary::AddLine(const std::string& aLine, const std::string& aService)
{
  json::error_code error;
  const json::value parsed = json::parse(aLine, error);
  if (error || !parsed.is_object()) {
    ++mBadLines;
    return;
  }
  const json::object& entry = parsed.get_object();
  uint64_t& starts = mServices[aService][StringMember(entry, "server")];
  if (StringMember(entry, "event") != "started") {
    return;
  }
  ++starts;
  const std::string key = StringMember(entry, "idempotency-key");
  if (!key.empty()) {
    ++mStartsByKey[key];
  }
}

uint64_t
JournalSummary::Starts(const std::string& aKey) const
{
  const auto found = mStartsByKey.find(aKey);
  return found == mStartsByKey.end() ? 0 : found->second;
}

uint64_t
JournalSummary::DoubledKeys() const
{
  return static_cast<uint64_t>(std::count_if(
    mStartsByKey.begin(), mStartsByKey.end(), [](const auto& aEntry) {
      return aEntry.second > 1;
    }));
}

std::optional<double>
JournalSummary::Imbalance(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  uint64_t sum = 0;
  uint64_t max = 0;
  for (const auto& [server, count] : service->second) {
    sum += count;
    max = std::max(max, count);
  }
  if (sum == 0) {
    return std::nullopt;
  }
  return static_cast<double>(max) *
         static_cast<double>(service->second.size()) / static_cast<double>(sum);
}

uint64_t
JournalSummary::TotalStarts() const
{
  uint64_t sum = 0;
  for (const auto& [service, servers] : mServices) {
    for (const auto& [server, count] : servers) {
      sum += count;
    }
  }
  return sum;
}

void
KeyLedger::RecordUse(uint64_t aRequest, const std::string& aKey)
{
  auto& keys = mKeysByRequest[aRequest];
  if (std::find(keys.begin(), keys.end(), aKey) == keys.end()) {
    keys.push_back(aKey);
  }
}

uint64_t
KeyLedger::Contradictions(const JournalSummary& aJournal) const
{
  return static_cast<uint64_t>(std::count_if(
    mNotRunKeys.begin(), mNotRunKeys.end(), [&](const auto& aKey) {
      return aJournal.Starts(aKey) > 0;
    }));
}

uint64_t
KeyLedger::Starts(uint64_t aRequest, const JournalSummary& aJournal) const
{
  const auto keys = mKeysByRequest.find(aRequest);
  uint64_t starts = 0;
  if (keys != mKeysByRequest.end()) {
    for (const std::string& key : keys->second) {
      starts += aJournal.Starts(key);
    }
  }
  return starts;
}

uint64_t
KeyLedger::DoubledRequests(const JournalSummary& aJournal) const
{
  return static_cast<uint64_t>(std::count_if(
    mKeysByRequest.begin(), mKeysByRequest.end(), [&](const auto& aOne) {
      return Starts(aOne.first, aJournal) > 1;
    }));
}

uint64_t
KeyLedger::OkWithoutOneStart(const JournalSummary& aJournal) const
{
  return static_cast<uint64_t>(std::count_if(
    mOkRequests.begin(), mOkRequests.end(), [&](uint64_t aRequest) {
      return Starts(aRequest, aJournal) != 1;
    }));
}

} // namespace snipepost::tools
