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
    /// The report seems to belong to an earlier life. Only its news that the
    /// backend server is draining was taken over.
    Stale,
    /// The connection broke or came back; the life may be another one.
    Connection,
    /// Another boot ID was seen.
    Boot
  };

  /// Takes a report and tells what it means. A second report in a row with the
  /// boot ID of an earlier life is believed: it was the report of another life
  /// in between that was wrong.
  Change Update(const BackendState& aState);

  /// Requests may be passed on.
  bool IsReady() const
  {
    return mReachable && mHealth != BackendHealth::Starting;
  }
  bool IsLeaving() const { return mHealth == BackendHealth::Draining; }

private:
  bool IsLate(const BackendState& aState);

  bool mReachable = false;
  BackendHealth mHealth = BackendHealth::Ok;
  std::string mBoot;
  /// Boot ID of the last report if that was Stale.
  std::string mDoubted;
  /// Boot IDs of earlier lives, the latest last.
  std::deque<std::string> mEarlier;
};

} // namespace snipepost
