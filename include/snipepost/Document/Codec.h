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

/// Either a complete value or the faults that prevent one, never both.
template<typename T>
struct Parsed
{
  std::optional<T> mValue;
  std::vector<DocumentError> mErrors;
};

/// What becomes of fields that this version does not know.
enum class UnknownFields : uint8_t
{
  /// They are errors: a field may be misspelt, and writing the document again
  /// would lose it.
  Reject,
  /// They are passed over, so that a later version's document comes into force
  /// while instances are replaced one by one.
  Ignore,
};

/// Parses JSON text. Reports every unknown, missing or repeated field, wrong
/// type and value out of range in one run. After a syntax error only that
/// error and what was found before it are known.
Parsed<Document>
ParseDocument(std::string_view aText,
              UnknownFields aUnknown = UnknownFields::Reject);

/// Writes the document as JSON with one line per service, failure domain, rule
/// and planned change.
std::string
WriteDocument(const Document& aDocument);

/// Parses and writes the change record as it is kept in an audit entry,
/// together with the generation and submission that it belongs to.
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

/// The audit entry of the document's own generation.
AuditEntry
AuditEntryOf(const Document& aDocument);

/// Field names of a service's JSON object with values as text.
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

/// Returns aBase with the given fields replaced. Pointers in errors are
/// relative to the service.
Parsed<Service>
WithFields(const Service& aBase, const FieldTexts& aFields);

} // namespace snipepost
