#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <snipepost/Ctl/Environment.h>
#include <snipepost/Document/Document.h>
#include <snipepost/Document/Order.h>
#include <snipepost/Document/Validate.h>

#include "src/Ctl/Options.h"

namespace snipepost {

/// What one instance said about the document that it holds.
struct InstanceView
{
  Address mControl;
  bool mReached = false;
  std::optional<Document> mDocument;
};

/// What the store and the instances hold.
struct DeploymentView
{
  /// Done or Absent when the store was read; its document in mStored.
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  std::optional<Document> mStored;
  /// Why the store's document could not be parsed.
  std::string mFault;
  std::vector<InstanceView> mInstances;

  bool AnyInstance() const;

  /// The highest document that instances hold.
  std::optional<Document> Held() const;

  /// The highest document of all.
  std::optional<Document> Highest() const;
};

/// How long a document may take until it is in force everywhere; see P10 in the
/// design page.
inline constexpr Duration kInForceTime = std::chrono::seconds(9);

/// Which instances are asked for the document that they hold.
enum class AskedInstances : uint8_t
{
  /// Those that the options name, and others in random order until
  /// kEnoughInstances have answered. A document reaches all instances within
  /// kInForceTime, so that a few tell whether the store lost one; asking 510
  /// for 238 KB each would take longer than that.
  Some,
  All,
};
inline constexpr size_t kEnoughInstances = 8;

/// Reads the store and the instances of one deployment.
class Deployment
{
public:
  Deployment(const Options& aOptions, Environment& aEnvironment);

  ObjectStore& Store() { return *mStore; }

  DeploymentView View(AskedInstances aAsked);

  /// Asks the instances of aView until one of them holds a document of aOrder
  /// or a newer one; false when none does after kInForceTime.
  bool AwaitInForce(const DocumentOrder& aOrder, const DeploymentView& aView);

  /// Announced backend servers, or nothing when the store can't be read.
  /// Announcements that can't be parsed are not counted as endpoints.
  std::optional<std::vector<AnnouncedEndpoint>> Endpoints(
    const Document& aDocument);

  /// Reads with a few repetitions while the store does not answer.
  StoreAnswer Get(const std::string& aKey);
  StoreAnswer List(const std::string& aPrefix);

private:
  template<typename Call>
  StoreAnswer Repeat(Call aCall);
  /// The instances that the options name first, then those that are
  /// announced, in random order.
  std::vector<Address> Instances();
  InstanceView Ask(const Address& aControl);

  const Options& mOptions;
  Environment& mEnvironment;
  std::unique_ptr<ObjectStore> mStore;
};

} // namespace snipepost
