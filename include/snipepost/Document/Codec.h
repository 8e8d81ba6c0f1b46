#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Size limit of a value in the platform's object API, in bytes.
constexpr size_t kMaxDocumentBytes = size_t{ 1024 } * 1024;

/// Longest string in a document, in bytes.
constexpr size_t kMaxStringBytes = 512;

/// Deepest nesting of objects and arrays in a document.
constexpr size_t kMaxDocumentDepth = 8;

/// Either a complete value or the errors that prevent one, never both.
template<typename T>
struct Parsed
{
  std::optional<T> mValue;
  std::vector<DocumentError> mErrors;
};

/// Handling of fields that this version does not define.
enum class UnknownFields : uint8_t
{
  /// They are errors: the name may be misspelt, and the field would be lost
  /// when the document is written again.
  Reject,
  /// They are ignored, so that a document of a later version takes effect on
  /// instances that a rolling upgrade has not replaced yet.
  Ignore,
};

/// Parses JSON text. Reports every unknown, missing or repeated field, wrong
/// type and value out of range in one run. A syntax error ends the run: only
/// that error and those found before it are reported.
Parsed<Document>
ParseDocument(std::string_view aText,
              UnknownFields aUnknown = UnknownFields::Reject);

/// Writes the document as JSON with one line per service, failure domain, rule
/// and planned change.
std::string
WriteDocument(const Document& aDocument);

/// Change record of one generation as it is stored in the audit log, with the
/// generation and submission ID that it belongs to.
struct AuditEntry
{
  Generation mTo;
  SubmissionId mSubmission;
  ChangeRecord mChange;

  bool operator==(const AuditEntry&) const = default;
};

Parsed<AuditEntry>
ParseAuditEntry(std::string_view aText);

std::string
WriteAuditEntry(const AuditEntry& aEntry);

/// Returns the audit entry of the document's own generation.
AuditEntry
AuditEntryOf(const Document& aDocument);

/// Names and textual values of fields in a service's JSON object.
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

/// Returns aBase with the given fields replaced. Pointers in errors are
/// relative to the service.
Parsed<Service>
WithFields(const Service& aBase, const FieldTexts& aFields);

} // namespace snipepost
