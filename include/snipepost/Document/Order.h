#pragma once

#include <compare>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Position of a document in the order in which documents replace each other:
/// by generation, then by submission ID.
struct DocumentOrder
{
  Generation mGeneration;
  SubmissionId mSubmission;

  auto operator<=>(const DocumentOrder&) const = default;
};

inline DocumentOrder
OrderOf(const Document& aDocument)
{
  return { aDocument.mGeneration, aDocument.mSubmission };
}

/// True when aLeft replaces aRight.
inline bool
IsNewer(const DocumentOrder& aLeft, const DocumentOrder& aRight)
{
  return aLeft > aRight;
}

inline bool
IsNewer(const Document& aLeft, const Document& aRight)
{
  return IsNewer(OrderOf(aLeft), OrderOf(aRight));
}

} // namespace snipepost
