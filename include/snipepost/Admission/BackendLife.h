#pragma once

#include <deque>
#include <string>

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// Which life of the backend server the agent talks to, from connection state
/// and boot IDs.
class BackendLife
{
public:
  enum class Change : uint8_t
  {
    None,
    /// The report belongs to an earlier life and must be ignored.
    Stale,
    /// The connection broke or came back; the life may be another one.
    Connection,
    /// Another boot ID was seen.
    Boot
  };

  /// Takes a report and tells what it means.
  Change Update(const BackendState& aState);

  /// Requests may be passed on.
  bool IsReady() const
  {
    return mReachable && mHealth != BackendHealth::Starting;
  }
  bool IsLeaving() const { return mHealth == BackendHealth::Draining; }

private:
  bool mReachable = false;
  BackendHealth mHealth = BackendHealth::Ok;
  std::string mBoot;
  /// Boot IDs of earlier lives, the latest last.
  std::deque<std::string> mEarlier;
};

} // namespace snipepost
