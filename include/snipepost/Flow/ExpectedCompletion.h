#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/Candidates.h>

namespace snipepost::flow {

/// Index of the candidate at which a flow's request is expected to be completed
/// first; unreachable ones come last. Nothing when no agent has reported a
/// service time in the last 10 s: the choice is then the one without it.
///
/// Designed for servers of unequal speed, and for long flows, whose later
/// requests stay at the server on which the flow was opened. Counts of requests
/// show neither: a slow server with a free slot looks like a fast one, and open
/// flows without a request are not seen at all. The expected completion is the
/// sum of
/// - the wait that the agent reported for aPriority, but at least that of the
///   estimated load, which includes the offers since the report;
/// - the service time, longer for a cold server;
/// - the time until the agent's reply;
/// - the expected wait of the flow's later requests, from the service time and
///   the utilisation.
/// Unknown service times and utilisations are taken as the median of the known
/// ones, so a server without a report is neither preferred nor excluded.
std::optional<size_t>
SoonestCandidate(const std::vector<Candidate>& aCandidates,
                 uint32_t aPriority,
                 Instant aNow);

/// Index of the candidate for an offer that may find a free slot: of those with
/// an expected completion close to the earliest one, the one that
/// BestCandidate() chooses. Where SoonestCandidate() has no result, the choice
/// of BestCandidate() among all.
///
/// Means of few samples differ also between equal servers. If the smallest
/// difference decided, successive flows would go to the same server until its
/// agent's next report, and find its slots busy.
std::optional<size_t>
CandidateForFreeSlot(const std::vector<Candidate>& aCandidates,
                     uint32_t aPriority,
                     Instant aNow);

} // namespace snipepost::flow
