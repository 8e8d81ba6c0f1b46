#pragma once

#include <compare>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Version stamp of a document, with the same order as DocumentVersion, which
/// instances send. A document replaces those with a lower stamp: generations
/// are compared first, then submission IDs.
struct DocumentStamp
{
  Generation mGeneration;
  SubmissionId mSubmission;

  auto operator<=>(const DocumentStamp&) const = default;
};

inline DocumentStamp
StampOf(const Document& aDocument)
{
  return { aDocument.mGeneration, aDocument.mSubmission };
}

/// True if aLeft replaces aRight.
inline bool
IsNewer(const DocumentStamp& aLeft, const DocumentStamp& aRight)
{
  return aLeft > aRight;
}

inline bool
IsNewer(const Document& aLeft, const Document& aRight)
{
  return IsNewer(StampOf(aLeft), StampOf(aRight));
}

} // namespace snipepost
