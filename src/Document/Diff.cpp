#include <snipepost/Document/Diff.h>

#include <map>

#include <boost/json/serialize.hpp>

#include "src/Document/JsonWriter.h"

namespace snipepost {

namespace json = boost::json;

namespace {

struct Item
{
  std::string mTitle;
  json::object mObject;
};

/// Items of a document by a key that identifies them in both documents.
using ItemsByKey = std::map<std::string, Item>;

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

/// Returns the items of a document that Diff() compares. Services and failure
/// domains are identified by ID, so that a renamed one appears as changed
/// rather than as removed and added.
ItemsByKey
ItemsOf(const Document& aDocument)
{
  ItemsByKey items;
  const auto add =
    [&](std::string aKey, std::string aTitle, json::value aValue) {
      // Invalid documents may repeat a key; each item is compared nevertheless.
      while (items.contains(aKey)) {
        aKey += " (repeated)";
      }
      items[std::move(aKey)] = { std::move(aTitle),
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
  return items;
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
  const ItemsByKey from = ItemsOf(aFrom);
  const ItemsByKey to = ItemsOf(aTo);
  for (const auto& [key, item] : from) {
    const auto other = to.find(key);
    if (other == to.end()) {
      lines.push_back(item.mTitle + ": removed " +
                      json::serialize(item.mObject));
    } else {
      CompareFields(item.mTitle, item.mObject, other->second.mObject, lines);
    }
  }
  for (const auto& [key, item] : to) {
    if (!from.contains(key)) {
      lines.push_back(item.mTitle + ": added " + json::serialize(item.mObject));
    }
  }
  return lines;
}

} // namespace snipepost
