// What replicas send to each other: snapshots, and changes since a position.

#include <snipepost/Cluster/Replica.h>

#include <utility>

#include <boost/json.hpp>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::cluster {

namespace json = boost::json;

namespace {

json::object
EncodeObject(const std::string& aName,
             Revision aRevision,
             const std::string& aText,
             Revision aCreated)
{
  return { { "name", aName },
           { "revision", aRevision.Value() },
           { "text", aText },
           { "created", aCreated.Value() } };
}

/// Missing in messages of nodes of the previous build.
Epoch
EpochField(const json::object& aObject)
{
  return Epoch(CountField(aObject, "epoch").value_or(0));
}

std::optional<ObjectChange>
DecodeObject(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  if (!object) {
    return std::nullopt;
  }
  const json::value* name = object->if_contains("name");
  const json::value* revision = object->if_contains("revision");
  const json::value* text = object->if_contains("text");
  if (!name || !name->is_string() || !revision || !text || !text->is_string()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = revision->to_number<uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  ObjectChange change{ std::string(name->get_string()),
                       Revision(number),
                       std::string(text->get_string()) };
  // Missing in snapshots of nodes of the previous version.
  if (const json::value* created = object->if_contains("created")) {
    change.mCreated = Revision(created->to_number<uint64_t>(error));
    if (error) {
      return std::nullopt;
    }
  }
  return change;
}

} // namespace

std::string
Replica::EncodeSnapshot(Part aPart) const
{
  const PartState& part = mParts[Index(aPart)];
  json::array objects;
  for (const auto& [name, object] : part.mObjects) {
    objects.push_back(
      EncodeObject(name, object.mRevision, object.mText, object.mCreated));
  }
  const json::object snapshot = {
    { "revision", part.mVersion.mRevision.Value() },
    { "epoch", part.mVersion.mEpoch.Value() },
    { "objects", std::move(objects) },
  };
  return json::serialize(snapshot);
}

std::optional<std::string>
Replica::EncodeChanges(Part aPart, Position aSince) const
{
  const PartState& part = mParts[Index(aPart)];
  const Revision since = aSince.mRevision;
  if (!part.mVersion.mLoaded || aSince.mEpoch != part.mVersion.mEpoch ||
      since < part.mRemovalsKnownSince || since > part.mVersion.mRevision) {
    return std::nullopt;
  }
  json::array changed;
  for (const auto& [name, object] : part.mObjects) {
    if (object.mRevision > since) {
      changed.push_back(
        EncodeObject(name, object.mRevision, object.mText, object.mCreated));
    }
  }
  json::array removed;
  for (const Removal& removal : part.mRemovals) {
    if (removal.mRevision > since) {
      removed.push_back({ { "name", removal.mName },
                          { "revision", removal.mRevision.Value() } });
    }
  }
  const json::object changes = {
    { "revision", part.mVersion.mRevision.Value() },
    { "epoch", part.mVersion.mEpoch.Value() },
    { "hash", part.mVersion.mContentHash },
    { "since", since.Value() },
    { "changed", std::move(changed) },
    { "removed", std::move(removed) },
  };
  return json::serialize(changes);
}

std::optional<PartChanges>
Replica::DecodeChanges(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto revision = CountField(*object, "revision");
  const auto hash = CountField(*object, "hash");
  const auto since = CountField(*object, "since");
  const json::value* changed = object->if_contains("changed");
  const json::value* removed = object->if_contains("removed");
  if (!revision || !hash || !since || !changed || !changed->is_array() ||
      !removed || !removed->is_array()) {
    return std::nullopt;
  }
  PartChanges changes;
  changes.mSince = Revision(*since);
  changes.mVersion = {
    Revision(*revision), static_cast<uint32_t>(*hash), true, EpochField(*object)
  };
  for (const json::value& item : removed->get_array()) {
    const json::object* removal = item.if_object();
    const auto name = removal ? TextField(*removal, "name") : std::nullopt;
    const auto at = removal ? CountField(*removal, "revision") : std::nullopt;
    if (!name || !at) {
      return std::nullopt;
    }
    changes.mChanges.push_back({ *name, Revision(*at), std::nullopt });
  }
  for (const json::value& item : changed->get_array()) {
    auto change = DecodeObject(item);
    if (!change) {
      return std::nullopt;
    }
    changes.mChanges.push_back(std::move(*change));
  }
  return changes;
}

bool
Replica::ApplyPeerChanges(Part aPart, const PartChanges& aChanges)
{
  PartState& part = mParts[Index(aPart)];
  const PartVersion& peer = aChanges.mVersion;
  if (!part.mVersion.mLoaded) {
    return false;
  }
  if (peer.At() <= part.mVersion.At()) {
    return true; // Other changes have arrived meanwhile.
  }
  if (peer.mEpoch != part.mVersion.mEpoch ||
      part.mVersion.mRevision < aChanges.mSince) {
    return false;
  }
  const Revision before = part.mVersion.mRevision;
  ApplyChanges(aPart, aChanges.mChanges, peer.mRevision);
  if (part.mVersion.mContentHash == peer.mContentHash) {
    return true;
  }
  // Peers with this revision still count as newer until a snapshot arrives.
  part.mVersion.mRevision = before;
  return false;
}

std::optional<Snapshot>
Replica::DecodeSnapshot(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto revision = CountField(*object, "revision");
  const json::value* objects = object->if_contains("objects");
  if (!revision || !objects || !objects->is_array()) {
    return std::nullopt;
  }
  Snapshot snapshot;
  snapshot.mRevision = Revision(*revision);
  snapshot.mEpoch = EpochField(*object);
  for (const json::value& item : objects->get_array()) {
    auto decoded = DecodeObject(item);
    if (!decoded) {
      return std::nullopt;
    }
    snapshot.mObjects.push_back(std::move(*decoded));
  }
  return snapshot;
}

} // namespace snipepost::cluster
