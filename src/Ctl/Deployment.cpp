#include "src/Ctl/Deployment.h"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Ctl/Submission.h>
#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Order.h>

namespace snipepost {

namespace json = boost::json;

namespace {

/// Number of attempts for each read from the store.
constexpr int kReadAttempts = 4;
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kAdoptionPollInterval = std::chrono::milliseconds(100);

std::string
AfterLastSlash(const std::string& aKey)
{
  return aKey.substr(aKey.rfind('/') + 1);
}

json::object
ParseObject(const std::string& aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

/// Returns an integer field from 1 to aMax, or 0 for any other value.
uint32_t
IntegerField(const json::object& aObject, const char* aField, uint32_t aMax)
{
  const auto* value = aObject.if_contains(aField);
  const auto* number = value ? value->if_int64() : nullptr;
  const bool valid = number && *number >= 1 && *number <= aMax;
  return valid ? static_cast<uint32_t>(*number) : 0;
}

/// Parses the announcement `endpoints/<service>/<ip>:<port>`, where <service>
/// is a name or an ID. An agent that announces no slots counts with those of
/// its service, because it reads their number from the document.
std::optional<AnnouncedEndpoint>
ParseEndpoint(const Document& aDocument, const StoredObject& aObject)
{
  const auto address = ParseAddress(AfterLastSlash(aObject.mKey));
  const size_t start = aObject.mKey.find('/') + 1;
  const auto name = aObject.mKey.substr(start, aObject.mKey.rfind('/') - start);
  const auto service =
    std::ranges::find_if(aDocument.mServices, [&](const Service& aService) {
      return aService.mName == name ||
             std::to_string(aService.mId.Value()) == name;
    });
  const auto object = ParseObject(aObject.mValue);
  const uint32_t domain = IntegerField(object, "domain", 255);
  const uint32_t slots = IntegerField(object, "slots", 65535);
  if (!address || service == aDocument.mServices.end() || domain == 0) {
    return std::nullopt;
  }
  return AnnouncedEndpoint{ { service->mId, *address },
                            DomainId(static_cast<uint8_t>(domain)),
                            slots == 0 ? service->mSlots : slots };
}

} // namespace

bool
DeploymentView::AnyInstanceReached() const
{
  return std::ranges::any_of(mInstances, &InstanceView::mReached);
}

std::optional<Document>
DeploymentView::NewestOnInstances() const
{
  std::optional<Document> newest;
  for (const auto& instance : mInstances) {
    if (instance.mDocument &&
        (!newest || IsNewer(*instance.mDocument, *newest))) {
      newest = instance.mDocument;
    }
  }
  return newest;
}

std::optional<Document>
DeploymentView::Newest() const
{
  auto onInstances = NewestOnInstances();
  if (onInstances && (!mStored || IsNewer(*onInstances, *mStored))) {
    return onInstances;
  }
  return mStored;
}

Deployment::Deployment(const Options& aOptions,
                       CommandEnvironment& aEnvironment)
  : mOptions(aOptions)
  , mEnvironment(aEnvironment)
  , mStore(aEnvironment.mOpenStore(*aOptions.mStore))
{
}

template<typename Call>
StoreResponse
Deployment::ReadWithRetries(Call aCall)
{
  StoreResponse response;
  for (int i = 0; i < kReadAttempts; ++i) {
    if (i > 0) {
      mEnvironment.mSleep(kReadRetryDelay * i);
    }
    response = aCall();
    if (response.mOutcome != ObjectOutcome::Refused &&
        response.mOutcome != ObjectOutcome::Unknown) {
      break;
    }
  }
  return response;
}

StoreResponse
Deployment::Get(const std::string& aKey)
{
  return ReadWithRetries([&] { return mStore->Get(aKey); });
}

StoreResponse
Deployment::List(const std::string& aPrefix)
{
  return ReadWithRetries([&] { return mStore->List(aPrefix); });
}

std::vector<Address>
Deployment::ControlAddresses()
{
  std::vector<Address> instances = mOptions.mInstances;
  const auto response = List("entries/");
  Random random(mEnvironment.mNewSeed());
  for (const auto& object : response.mObjects) {
    // The announced address, at the end of the key, is the control address.
    const auto address = ParseAddress(AfterLastSlash(object.mKey));
    if (address && std::ranges::count(instances, *address) == 0) {
      const size_t configured = mOptions.mInstances.size();
      const size_t position =
        configured + random.Below(instances.size() - configured + 1);
      instances.push_back(*address);
      std::swap(instances[position], instances.back());
    }
  }
  return instances;
}

DeploymentView
Deployment::ReadView(QueryScope aScope)
{
  DeploymentView view;
  const auto response = Get(DocumentKey(mOptions.mDeployment));
  view.mOutcome = response.mOutcome;
  if (response.mOutcome == ObjectOutcome::Done && !response.mObjects.empty()) {
    auto parsed = ParseDocument(response.mObjects.front().mValue);
    if (!parsed.mValue) {
      view.mParseError =
        "the store's document is invalid: " + parsed.mErrors.front().mPointer +
        " " + parsed.mErrors.front().mText;
    }
    view.mStored = std::move(parsed.mValue);
  }
  size_t responded = 0;
  for (const Address& control : ControlAddresses()) {
    const bool configured = view.mInstances.size() < mOptions.mInstances.size();
    if (aScope == QueryScope::Sample && !configured &&
        responded >= kSampleSize) {
      break;
    }
    view.mInstances.push_back(Query(control));
    responded += view.mInstances.back().mReached ? 1 : 0;
  }
  return view;
}

InstanceView
Deployment::Query(const Address& aControl)
{
  const auto response = mEnvironment.mQueryInstance(aControl, "/v1/document");
  InstanceView instance{ aControl, response.mReached, std::nullopt };
  if (response.mBody) {
    instance.mDocument = ParseDocument(*response.mBody).mValue;
    // A response without a valid document does not show which one the
    // instance has.
    instance.mReached = instance.mDocument.has_value();
  }
  if (instance.mDocument &&
      instance.mDocument->mDeployment != mOptions.mDeployment) {
    return { aControl, false, std::nullopt };
  }
  return instance;
}

bool
Deployment::AwaitAdoption(const DocumentStamp& aStamp,
                          const DeploymentView& aView)
{
  std::vector<Address> reachable;
  for (const InstanceView& instance : aView.mInstances) {
    if (instance.mReached) {
      reachable.push_back(instance.mControl);
    }
  }
  for (Duration waited{}; !reachable.empty() && waited <= kDistributionLimit;
       waited += kAdoptionPollInterval) {
    // Queries one instance per interval, because a response may have 1 MB.
    const Address control =
      reachable[waited / kAdoptionPollInterval % reachable.size()];
    const auto document = Query(control).mDocument;
    if (document && !IsNewer(aStamp, StampOf(*document))) {
      return true;
    }
    mEnvironment.mSleep(kAdoptionPollInterval);
  }
  return false;
}

std::optional<std::vector<AnnouncedEndpoint>>
Deployment::Endpoints(const Document& aDocument)
{
  const auto response = List("endpoints/");
  if (response.mOutcome != ObjectOutcome::Done) {
    return std::nullopt;
  }
  std::vector<AnnouncedEndpoint> endpoints;
  for (const auto& object : response.mObjects) {
    if (const auto endpoint = ParseEndpoint(aDocument, object)) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

} // namespace snipepost
