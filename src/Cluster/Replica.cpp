#include <snipepost/Cluster/Replica.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "src/Routing/Hash.h"

namespace snipepost::cluster {

namespace {

/// Limit of the removals that a part keeps for peers.
constexpr size_t kMaxRemovals = 1024;

} // namespace

std::string_view
ToString(Part aPart)
{
  switch (aPart) {
    case Part::Routes:
      return "routes";
    case Part::Evacuations:
      return "evacuations";
    case Part::Backends:
      return "backends";
  }
  return "invalid";
}

bool
HasNewerContent(const PartVersion& aVersion, const PartVersion& aOther)
{
  if (!aVersion.mLoaded) {
    return false;
  }
  if (!aOther.mLoaded) {
    return true;
  }
  if (aVersion.mEpoch != aOther.mEpoch) {
    return aVersion.mEpoch > aOther.mEpoch;
  }
  return aVersion.mContentHash != aOther.mContentHash &&
         aVersion.mRevision > aOther.mRevision;
}

Replica::Replica(ConfigDecoder aDecoder)
  : mDecoder(std::move(aDecoder))
  , mRoutes(std::make_shared<RouteConfig>())
{
}

Replica::Names
Replica::MissingIn(const Snapshot& aSnapshot, Part aPart) const
{
  std::unordered_set<std::string_view> present;
  for (const ObjectChange& object : aSnapshot.mObjects) {
    present.insert(object.mName);
  }
  Names missing;
  for (const auto& [name, object] : mParts[Index(aPart)].mObjects) {
    if (!present.contains(name)) {
      missing.push_back(name);
    }
  }
  return missing;
}

void
Replica::BeginEpoch(Part aPart, const Snapshot& aSnapshot)
{
  PartState& part = mParts[Index(aPart)];
  // Content of an unknown epoch is replaced by that of a known one, which does
  // not mean that the store was restored.
  const bool restored = part.mVersion.mEpoch != Epoch();
  if (restored && aPart != Part::Routes) {
    const Names missing = MissingIn(aSnapshot, aPart);
    part.mRetained.insert(missing.begin(), missing.end());
    part.mRetainedUntil.reset();
  }
  if (restored) {
    part.mCreationsKnownSince = aSnapshot.mRevision;
    mChanges.push_back("restored, " + std::to_string(part.mRetained.size()) +
                       " retained");
  } else {
    for (const std::string& name : MissingIn(aSnapshot, aPart)) {
      RemoveObject(aPart, name, aSnapshot.mRevision);
    }
  }
  part.mObjects.clear();
  part.mRemovals.clear();
  part.mRemovalsKnownSince = aSnapshot.mRevision;
  part.mVersion.mRevision = aSnapshot.mRevision;
}

bool
Replica::ApplySnapshot(Part aPart, const Snapshot& aSnapshot)
{
  PartState& part = mParts[Index(aPart)];
  PartVersion& version = part.mVersion;
  if (version.mLoaded && aSnapshot.At() < version.At()) {
    return false;
  }
  if (!version.mLoaded) {
    version.mLoaded = true;
    part.mRemovalsKnownSince = aSnapshot.mRevision;
    mChanges.emplace_back("first snapshot");
  } else if (aSnapshot.mEpoch > version.mEpoch) {
    BeginEpoch(aPart, aSnapshot);
  }
  version.mEpoch = aSnapshot.mEpoch;
  for (const std::string& name : MissingIn(aSnapshot, aPart)) {
    RemoveObject(aPart, name, aSnapshot.mRevision);
  }
  for (const ObjectChange& object : aSnapshot.mObjects) {
    ApplyObject(aPart, object);
  }
  UpdateVersion(part, aSnapshot.mRevision);
  NotifyObserver(aPart);
  return true;
}

void
Replica::ApplyChanges(Part aPart,
                      const std::vector<ObjectChange>& aChanges,
                      Revision aRevision)
{
  for (const ObjectChange& change : aChanges) {
    ApplyObject(aPart, change);
  }
  UpdateVersion(mParts[Index(aPart)], aRevision);
  NotifyObserver(aPart);
}

bool
Replica::ApplyObject(Part aPart, const ObjectChange& aChange)
{
  PartState& part = mParts[Index(aPart)];
  const auto current = part.mObjects.find(aChange.mName);
  if (current != part.mObjects.end() &&
      aChange.mRevision <= current->second.mRevision) {
    return false;
  }
  if (!aChange.mText) {
    RemoveObject(aPart, aChange.mName, aChange.mRevision);
    return true;
  }
  const bool ageUnknown = part.mRetained.erase(aChange.mName) > 0 ||
                          (current != part.mObjects.end() &&
                           current->second.mCreated == Revision()) ||
                          aChange.mCreated <= part.mCreationsKnownSince;
  part.mObjects[aChange.mName] = { aChange.mRevision,
                                   *aChange.mText,
                                   ageUnknown ? Revision() : aChange.mCreated };
  if (aPart == Part::Evacuations) {
    mChanges.push_back("evacuated " + aChange.mName);
    return true;
  }
  if (aPart == Part::Routes) {
    return ApplyRoutes(*aChange.mText);
  }
  return ApplyRecord(aChange.mName, *aChange.mText);
}

bool
Replica::ApplyRecord(const std::string& aName, const std::string& aText)
{
  const auto record = DecodeRecord(aText);
  if (!record || RecordName(record->mAgent) != aName) {
    ++mUndecodableObjects;
    mBackends.erase(aName);
    mChanges.push_back("invalid record " + aName);
    return false;
  }
  mBackends[aName] = *record;
  mChanges.push_back("record " + aName + ' ' + aText);
  return true;
}

bool
Replica::ApplyRoutes(const std::string& aText)
{
  auto config = mDecoder(aText);
  if (!config) {
    ++mUndecodableObjects;
    mChanges.push_back("invalid configuration");
    return false;
  }
  if (config->mVersion <= mRoutes->mVersion) {
    return false;
  }
  mRoutes = std::make_shared<const RouteConfig>(std::move(*config));
  mChanges.push_back("version " + std::to_string(mRoutes->mVersion.Value()) +
                     " with " + std::to_string(mRoutes->mRoutes.size()) +
                     " routes");
  return true;
}

void
Replica::RemoveObject(Part aPart, const std::string& aName, Revision aRevision)
{
  PartState& part = mParts[Index(aPart)];
  // An object that was never known here may still be known to peers.
  part.mRemovals.push_back({ aName, aRevision });
  if (part.mRemovals.size() > kMaxRemovals) {
    part.mRemovalsKnownSince =
      std::max(part.mRemovalsKnownSince, part.mRemovals.front().mRevision);
    part.mRemovals.pop_front();
  }
  const bool known = part.mObjects.erase(aName) > 0;
  const bool retained = part.mRetained.erase(aName) > 0;
  if (!known && !retained) {
    return;
  }
  if (aPart == Part::Backends) {
    mBackends.erase(aName);
  }
  // The configuration stays in force when its object is removed.
  mChanges.push_back("removed " + aName);
}

void
Replica::ExpireRetained(Instant aNow)
{
  for (const Part which : kParts) {
    PartState& part = mParts[Index(which)];
    if (part.mRetained.empty()) {
      continue;
    }
    if (!part.mRetainedUntil) {
      part.mRetainedUntil = aNow + kRetention;
    }
    if (aNow < *part.mRetainedUntil) {
      continue;
    }
    for (const std::string& name : std::exchange(part.mRetained, {})) {
      if (which == Part::Backends) {
        mBackends.erase(name);
      }
      mChanges.push_back("removed " + name);
    }
    NotifyObserver(which);
  }
}

void
Replica::UpdateVersion(PartState& aPart, Revision aRevision)
{
  aPart.mVersion.mRevision = std::max(aPart.mVersion.mRevision, aRevision);
  uint64_t hash = 0;
  for (const auto& [name, object] : aPart.mObjects) {
    const std::span bytes(reinterpret_cast<const uint8_t*>(name.data()),
                          name.size());
    hash = HashBytes(bytes, hash ^ object.mRevision.Value());
  }
  aPart.mVersion.mContentHash = static_cast<uint32_t>(hash);
}

void
Replica::NotifyObserver(Part aPart)
{
  const auto changes = std::exchange(mChanges, {});
  if (mObserver && !changes.empty()) {
    mObserver(aPart, changes);
  }
}

bool
Replica::Complete() const
{
  return std::ranges::all_of(kParts,
                             [this](Part aPart) { return Loaded(aPart); }) &&
         mRoutes->mVersion != ConfigVersion();
}

Epoch
Replica::LatestEpoch() const
{
  Epoch latest;
  for (const PartState& part : mParts) {
    latest = std::max(latest, part.mVersion.mEpoch);
  }
  return latest;
}

bool
Replica::Evacuated(const std::string& aDomain) const
{
  const PartState& part = mParts[Index(Part::Evacuations)];
  return part.mObjects.contains(aDomain) || part.mRetained.contains(aDomain);
}

std::vector<std::string>
Replica::EvacuatedDomains() const
{
  const PartState& part = mParts[Index(Part::Evacuations)];
  std::vector<std::string> names(part.mRetained.begin(), part.mRetained.end());
  for (const auto& [name, object] : part.mObjects) {
    names.push_back(name);
  }
  return names;
}

Revision
Replica::RecordCreated(const std::string& aName) const
{
  const auto& records = mParts[Index(Part::Backends)].mObjects;
  const auto found = records.find(aName);
  return found == records.end() ? Revision() : found->second.mCreated;
}

std::optional<StoredRecord>
Replica::FindObject(Part aPart, const std::string& aName) const
{
  const auto& objects = mParts[Index(aPart)].mObjects;
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return std::nullopt;
  }
  return StoredRecord{ found->second.mRevision, found->second.mText };
}

} // namespace snipepost::cluster
