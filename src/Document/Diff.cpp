#include <snipepost/Document/Diff.h>

#include <map>

#include <boost/json/serialize.hpp>

#include "src/Document/JsonWriter.h"

namespace snipepost {

namespace json = boost::json;

namespace {

struct Part
{
  std::string mTitle;
  json::object mObject;
};

/// Parts of a document by what identifies them.
using Parts = std::map<std::string, Part>;

std::string
ServiceName(const Document& aDocument, ServiceId aId)
{
  for (const auto& service : aDocument.mServices) {
    if (service.mId == aId) {
      return service.mName;
    }
  }
  return "#" + std::to_string(aId.Value());
}

std::string
DomainName(const Document& aDocument, DomainId aId)
{
  for (const auto& domain : aDocument.mDomains) {
    if (domain.mId == aId) {
      return domain.mName;
    }
  }
  return "#" + std::to_string(aId.Value());
}

std::string
TargetName(const Document& aDocument, const PlannedTarget& aTarget)
{
  if (const auto* domain = std::get_if<DomainTarget>(&aTarget)) {
    return DomainName(aDocument, domain->mDomain);
  }
  const auto& backend = std::get<BackendTarget>(aTarget);
  return ServiceName(aDocument, backend.mService) + "/" +
         ToString(backend.mAddress);
}

/// Every part of the document that differences are shown for. Services and
/// failure domains are identified by ID, so that a new name shows as a change.
Parts
PartsOf(const Document& aDocument)
{
  Parts parts;
  const auto add =
    [&](std::string aKey, std::string aTitle, json::value aValue) {
      // Invalid documents may repeat a key; each part is still compared.
      while (parts.contains(aKey)) {
        aKey += " (repeated)";
      }
      parts[std::move(aKey)] = { std::move(aTitle),
                                 std::move(aValue.get_object()) };
    };
  for (const auto& service : aDocument.mServices) {
    add("service " + std::to_string(service.mId.Value()),
        "service " + service.mName,
        JsonWriter::Write(service));
  }
  for (const auto& domain : aDocument.mDomains) {
    add("domain " + std::to_string(domain.mId.Value()),
        "failure domain " + domain.mName,
        JsonWriter::Write(domain));
  }
  for (const auto& rule : aDocument.mBackends) {
    add("backend " + std::to_string(rule.mService.Value()) + "/" +
          ToString(rule.mAddress),
        "backend " + ServiceName(aDocument, rule.mService) + "/" +
          ToString(rule.mAddress),
        JsonWriter::Write(rule));
  }
  for (const auto& change : aDocument.mPlanned) {
    const auto action = JsonWriter::Write(change.mAction);
    add("planned " + json::serialize(JsonWriter::Write(change)),
        "planned " + ToString(change.mAt) + " " +
          std::string(action.get_string()) + " " +
          TargetName(aDocument, change.mTarget),
        JsonWriter::Write(change));
  }
  return parts;
}

void
CompareFields(const std::string& aTitle,
              const json::object& aFrom,
              const json::object& aTo,
              std::vector<std::string>& aLines)
{
  for (const auto& field : aFrom) {
    const json::value& to = aTo.at(field.key());
    if (field.value() != to) {
      aLines.push_back(aTitle + ": " + std::string(field.key()) + " " +
                       json::serialize(field.value()) + " -> " +
                       json::serialize(to));
    }
  }
}

} // namespace

std::vector<std::string>
Diff(const Document& aFrom, const Document& aTo)
{
  std::vector<std::string> lines;
  if (aFrom.mDeployment != aTo.mDeployment) {
    lines.push_back("deployment: " + aFrom.mDeployment + " -> " +
                    aTo.mDeployment);
  }
  const Parts from = PartsOf(aFrom);
  const Parts to = PartsOf(aTo);
  for (const auto& [key, part] : from) {
    const auto other = to.find(key);
    if (other == to.end()) {
      lines.push_back(part.mTitle + ": removed " +
                      json::serialize(part.mObject));
    } else {
      CompareFields(part.mTitle, part.mObject, other->second.mObject, lines);
    }
  }
  for (const auto& [key, part] : to) {
    if (!from.contains(key)) {
      lines.push_back(part.mTitle + ": added " + json::serialize(part.mObject));
    }
  }
  return lines;
}

} // namespace snipepost
