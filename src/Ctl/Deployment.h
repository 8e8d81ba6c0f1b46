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

/// Document of an instance, as returned by its control address.
struct InstanceView
{
  Address mControl;
  /// False if the instance could not be reached, or if its document is invalid
  /// or belongs to another deployment.
  bool mReached = false;
  std::optional<Document> mDocument;
};

/// Documents of the store and of the queried instances.
struct DeploymentView
{
  /// Result of reading the store: Done, with the document in mStored, Absent,
  /// or the failure.
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  std::optional<Document> mStored;
  /// Set if the stored document could not be parsed.
  std::string mParseError;
  std::vector<InstanceView> mInstances;

  bool AnyInstanceReached() const;

  /// The newest document of the queried instances.
  std::optional<Document> NewestOnInstances() const;

  /// The newest document of the store and the queried instances.
  std::optional<Document> Newest() const;
};

/// Time within which an accepted document must be in effect on all instances;
/// see requirement P10 in docs/design.md.
inline constexpr Duration kDistributionLimit = std::chrono::seconds(9);

/// Which instances are queried for their document.
enum class QueryScope : uint8_t
{
  /// Those that the options name, then others in random order until kSampleSize
  /// have responded. All instances receive a document within
  /// kDistributionLimit, so a sample has the newest one and shows whether the
  /// store lost it. Querying all of 510 instances, with a document of 238 KB
  /// each, would take longer than that limit.
  Sample,
  All,
};
inline constexpr size_t kSampleSize = 8;

/// Reads the store and the instances of one deployment.
class Deployment
{
public:
  Deployment(const Options& aOptions, CommandEnvironment& aEnvironment);

  ObjectStore& Store() { return *mStore; }

  DeploymentView ReadView(QueryScope aScope);

  /// Polls the reachable instances of aView until one of them has the document
  /// with aStamp or a newer one. Returns false if none has after
  /// kDistributionLimit.
  bool AwaitAdoption(const DocumentStamp& aStamp, const DeploymentView& aView);

  /// Returns the announced backend servers, or nothing if the store can't be
  /// read. Announcements that can't be parsed are skipped.
  std::optional<std::vector<AnnouncedEndpoint>> Endpoints(
    const Document& aDocument);

  /// Reads, with retries while the store refuses calls or does not respond.
  StoreResponse Get(const std::string& aKey);
  StoreResponse List(const std::string& aPrefix);

private:
  template<typename Call>
  StoreResponse ReadWithRetries(Call aCall);
  /// Returns the instances that the options name, followed by the announced
  /// entry instances in random order.
  std::vector<Address> ControlAddresses();
  InstanceView Query(const Address& aControl);

  const Options& mOptions;
  CommandEnvironment& mEnvironment;
  std::unique_ptr<ObjectStore> mStore;
};

} // namespace snipepost
