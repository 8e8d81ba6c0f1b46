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

/// Reads per command before it gives up on the store.
constexpr int kReads = 4;
constexpr Duration kReadPause = std::chrono::milliseconds(200);
constexpr Duration kInForcePause = std::chrono::milliseconds(100);

std::string
AfterLastSlash(const std::string& aKey)
{
  return aKey.substr(aKey.rfind('/') + 1);
}

json::object
ObjectOf(const std::string& aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

/// A number from 1 to aMax, or 0 when the field is anything else.
uint32_t
NumberOf(const json::object& aObject, const char* aField, uint32_t aMax)
{
  const auto* value = aObject.if_contains(aField);
  const auto* number = value ? value->if_int64() : nullptr;
  const bool legal = number && *number >= 1 && *number <= aMax;
  return legal ? static_cast<uint32_t>(*number) : 0;
}

/// Parses the announcement `endpoints/<service>/<ip>:<port>`; the service is
/// its name or ID. An agent that announces no slots has those of its service:
/// the agent learns their number from this document only.
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
  const auto object = ObjectOf(aObject.mValue);
  const uint32_t domain = NumberOf(object, "domain", 255);
  const uint32_t slots = NumberOf(object, "slots", 65535);
  if (!address || service == aDocument.mServices.end() || domain == 0) {
    return std::nullopt;
  }
  return AnnouncedEndpoint{ { service->mId, *address },
                            DomainId(static_cast<uint8_t>(domain)),
                            slots == 0 ? service->mSlots : slots };
}

} // namespace

bool
DeploymentView::AnyInstance() const
{
  return std::ranges::any_of(mInstances, &InstanceView::mReached);
}

std::optional<Document>
DeploymentView::Held() const
{
  std::optional<Document> held;
  for (const auto& instance : mInstances) {
    if (instance.mDocument && (!held || IsNewer(*instance.mDocument, *held))) {
      held = instance.mDocument;
    }
  }
  return held;
}

std::optional<Document>
DeploymentView::Highest() const
{
  auto held = Held();
  if (held && (!mStored || IsNewer(*held, *mStored))) {
    return held;
  }
  return mStored;
}

Deployment::Deployment(const Options& aOptions, Environment& aEnvironment)
  : mOptions(aOptions)
  , mEnvironment(aEnvironment)
  , mStore(aEnvironment.mOpenStore(*aOptions.mStore))
{
}

template<typename Call>
StoreAnswer
Deployment::Repeat(Call aCall)
{
  StoreAnswer answer;
  for (int i = 0; i < kReads; ++i) {
    if (i > 0) {
      mEnvironment.mPause(kReadPause * i);
    }
    answer = aCall();
    if (answer.mOutcome != ObjectOutcome::Refused &&
        answer.mOutcome != ObjectOutcome::Unknown) {
      break;
    }
  }
  return answer;
}

StoreAnswer
Deployment::Get(const std::string& aKey)
{
  return Repeat([&] { return mStore->Get(aKey); });
}

StoreAnswer
Deployment::List(const std::string& aPrefix)
{
  return Repeat([&] { return mStore->List(aPrefix); });
}

std::vector<Address>
Deployment::Instances()
{
  std::vector<Address> instances = mOptions.mInstances;
  const auto answer = List("entries/");
  Random random(mEnvironment.mNewSeed());
  for (const auto& object : answer.mObjects) {
    // An instance serves its control streams on the announced address.
    const auto address = ParseAddress(AfterLastSlash(object.mKey));
    if (address && std::ranges::count(instances, *address) == 0) {
      const size_t named = mOptions.mInstances.size();
      const size_t place = named + random.Below(instances.size() - named + 1);
      instances.push_back(*address);
      std::swap(instances[place], instances.back());
    }
  }
  return instances;
}

DeploymentView
Deployment::View(AskedInstances aAsked)
{
  DeploymentView view;
  const auto answer = Get(DocumentKey(mOptions.mDeployment));
  view.mOutcome = answer.mOutcome;
  if (answer.mOutcome == ObjectOutcome::Done && !answer.mObjects.empty()) {
    auto parsed = ParseDocument(answer.mObjects.front().mValue);
    if (!parsed.mValue) {
      view.mFault = "the store's document can't be read: " +
                    parsed.mErrors.front().mPointer + " " +
                    parsed.mErrors.front().mText;
    }
    view.mStored = std::move(parsed.mValue);
  }
  size_t answered = 0;
  for (const Address& control : Instances()) {
    const bool named = view.mInstances.size() < mOptions.mInstances.size();
    if (aAsked == AskedInstances::Some && !named &&
        answered >= kEnoughInstances) {
      break;
    }
    view.mInstances.push_back(Ask(control));
    answered += view.mInstances.back().mReached ? 1 : 0;
  }
  return view;
}

InstanceView
Deployment::Ask(const Address& aControl)
{
  const auto told = mEnvironment.mAskInstance(aControl, "/v1/document");
  InstanceView instance{ aControl, told.mReached, std::nullopt };
  if (told.mBody) {
    instance.mDocument = ParseDocument(*told.mBody).mValue;
    // An answer that is no document says nothing about what it holds.
    instance.mReached = instance.mDocument.has_value();
  }
  if (instance.mDocument &&
      instance.mDocument->mDeployment != mOptions.mDeployment) {
    return { aControl, false, std::nullopt };
  }
  return instance;
}

bool
Deployment::AwaitInForce(const DocumentOrder& aOrder,
                         const DeploymentView& aView)
{
  std::vector<Address> live;
  for (const InstanceView& instance : aView.mInstances) {
    if (instance.mReached) {
      live.push_back(instance.mControl);
    }
  }
  for (Duration waited{}; !live.empty() && waited <= kInForceTime;
       waited += kInForcePause) {
    // One instance a turn: each answer may be a document of 1 MB.
    const Address control = live[waited / kInForcePause % live.size()];
    const auto held = Ask(control).mDocument;
    if (held && !IsNewer(aOrder, OrderOf(*held))) {
      return true;
    }
    mEnvironment.mPause(kInForcePause);
  }
  return false;
}

std::optional<std::vector<AnnouncedEndpoint>>
Deployment::Endpoints(const Document& aDocument)
{
  const auto answer = List("endpoints/");
  if (answer.mOutcome != ObjectOutcome::Done) {
    return std::nullopt;
  }
  std::vector<AnnouncedEndpoint> endpoints;
  for (const auto& object : answer.mObjects) {
    if (const auto endpoint = ParseEndpoint(aDocument, object)) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

} // namespace snipepost
