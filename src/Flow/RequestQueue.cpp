#include <snipepost/Flow/RequestQueue.h>

#include <algorithm>
#include <utility>

namespace snipepost::flow {

namespace {

size_t
MemoryOf(size_t aBytes)
{
  return sizeof(WaitingRequest::KeptPacket) + aBytes;
}

size_t
MemoryOf(const WaitingRequest& aRequest)
{
  size_t memory = 0;
  for (const auto& packet : aRequest.mPackets) {
    memory += MemoryOf(packet.mBytes.size());
  }
  return memory;
}

/// Whether aKept contains everything that aPacket carries.
bool
Contains(const Packet& aKept, const Packet& aPacket)
{
  return aKept.mSequence == aPacket.mSequence &&
         aKept.mLength >= aPacket.mLength && (aKept.mFin || !aPacket.mFin);
}

} // namespace

void
RequestQueue::Add(WaitingRequest aRequest)
{
  mBytes += MemoryOf(aRequest);
  mRequests.push_back(std::move(aRequest));
}

void
RequestQueue::Keep(const FlowTuple& aFlow,
                   const Packet& aPacket,
                   std::span<const uint8_t> aBytes)
{
  const auto request = Find(aFlow);
  if (request == mRequests.end()) {
    return;
  }
  const bool repeated =
    std::ranges::any_of(request->mPackets, [&aPacket](const auto& aKept) {
      return Contains(aKept.mHeader, aPacket);
    });
  if (repeated) {
    return;
  }
  request->mPackets.push_back({ aPacket, { aBytes.begin(), aBytes.end() } });
  mBytes += MemoryOf(aBytes.size());
}

std::vector<WaitingRequest>
RequestQueue::TakeDue(Instant aNow)
{
  std::vector<WaitingRequest> due;
  for (size_t i = 0; i < mRequests.size();) {
    const WaitingRequest& request = mRequests[i];
    if (request.mForwardBy <= aNow || request.mPackets.size() > kMaxPackets) {
      due.push_back(Take(mRequests.begin() + static_cast<std::ptrdiff_t>(i)));
    } else {
      ++i;
    }
  }
  while (Size() > kMaxRequests || mBytes > kMaxBytes) {
    QueueEntries entries;
    Append(entries);
    due.push_back(*Take(FirstInOrder(entries, aNow)));
  }
  return due;
}

std::vector<WaitingRequest>
RequestQueue::TakeAll()
{
  mBytes = 0;
  return std::exchange(mRequests, {});
}

std::optional<WaitingRequest>
RequestQueue::Take(const FlowTuple& aFlow)
{
  const auto request = Find(aFlow);
  if (request == mRequests.end()) {
    return std::nullopt;
  }
  return Take(request);
}

std::optional<WaitingRequest>
RequestQueue::Take(const QueueEntry* aRequest)
{
  const auto request =
    std::ranges::find_if(mRequests, [aRequest](const auto& aWaiting) {
      return &aWaiting == aRequest;
    });
  if (request == mRequests.end()) {
    return std::nullopt;
  }
  return Take(request);
}

WaitingRequest
RequestQueue::Take(Requests::iterator aRequest)
{
  WaitingRequest taken = std::move(*aRequest);
  mRequests.erase(aRequest);
  mBytes -= MemoryOf(taken);
  return taken;
}

RequestQueue::Requests::iterator
RequestQueue::Find(const FlowTuple& aFlow)
{
  return std::ranges::find(mRequests, aFlow, &WaitingRequest::mFlow);
}

void
RequestQueue::Append(QueueEntries& aEntries) const
{
  for (const WaitingRequest& request : mRequests) {
    aEntries.push_back(&request);
  }
}

Duration
RequestQueue::WaitAhead(const QueuePosition& aPosition,
                        uint32_t aSlots,
                        Instant aNow) const
{
  Duration ahead{};
  for (const WaitingRequest& request : mRequests) {
    if (GoesBefore(request, aPosition, aNow)) {
      ahead += request.mSlotTime;
    }
  }
  return ahead / std::max(aSlots, 1U);
}

bool
RequestQueue::AnyInTime(Instant aNow) const
{
  return std::ranges::any_of(mRequests, [aNow](const auto& aRequest) {
    return RankOf(aRequest, aNow) == QueueRank::InTime;
  });
}

} // namespace snipepost::flow
