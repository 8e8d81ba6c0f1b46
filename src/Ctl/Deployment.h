#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <snipepost/Ctl/Environment.h>
#include <snipepost/Document/Document.h>
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

/// Reads the store and the instances of one deployment.
class Deployment
{
public:
  Deployment(const Options& aOptions, Environment& aEnvironment);

  ObjectStore& Store() { return *mStore; }

  DeploymentView View();

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
  std::vector<Address> Instances();

  const Options& mOptions;
  Environment& mEnvironment;
  std::unique_ptr<ObjectStore> mStore;
};

} // namespace snipepost
