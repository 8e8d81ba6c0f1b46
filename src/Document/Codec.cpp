#include <snipepost/Document/Codec.h>

#include <charconv>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/Document/JsonReader.h"
#include "src/Document/JsonWriter.h"
#include "src/Document/StructureScan.h"

namespace snipepost {

namespace json = boost::json;

namespace {

template<typename T>
Parsed<T>
ReadValue(const json::value& aValue,
          std::vector<DocumentError> aErrors,
          UnknownFields aUnknown = UnknownFields::Reject)
{
  JsonReader reader(aUnknown);
  T out;
  reader.Read(aValue, out);
  auto found = reader.TakeErrors();
  aErrors.insert(aErrors.end(), found.begin(), found.end());
  if (!aErrors.empty()) {
    return { std::nullopt, std::move(aErrors) };
  }
  return { std::move(out), {} };
}

template<typename T>
Parsed<T>
ParseText(std::string_view aText, UnknownFields aUnknown)
{
  if (aText.size() > kMaxDocumentBytes) {
    return { std::nullopt,
             { { "",
                 "has " + std::to_string(aText.size()) + " bytes, limit " +
                   std::to_string(kMaxDocumentBytes) } } };
  }
  auto errors = ScanStructure(aText);
  json::parse_options options;
  // ScanStructure() has reported values nested deeper than kMaxDocumentDepth.
  // They are parsed nevertheless to find further errors.
  options.max_depth = 64;
  json::error_code error;
  const json::value value = json::parse(aText, error, {}, options);
  if (error) {
    if (errors.empty()) {
      errors.push_back({ "", "syntax error: " + error.message() });
    }
    return { std::nullopt, std::move(errors) };
  }
  return ReadValue<T>(value, std::move(errors), aUnknown);
}

void
AppendIndented(std::string& aText, const json::value& aValue)
{
  const auto* array = aValue.if_array();
  if (!array || array->empty()) {
    aText += json::serialize(aValue);
    return;
  }
  aText += "[";
  for (size_t i = 0; i < array->size(); ++i) {
    aText += (i > 0 ? ",\n    " : "\n    ") + json::serialize((*array)[i]);
  }
  aText += "\n  ]";
}

json::value
JsonFromText(const std::string& aText)
{
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error == std::errc{} && rest == end) {
    return number;
  }
  return json::string(aText);
}

} // namespace

Parsed<Document>
ParseDocument(std::string_view aText, UnknownFields aUnknown)
{
  return ParseText<Document>(aText, aUnknown);
}

std::string
WriteDocument(const Document& aDocument)
{
  const json::value value = JsonWriter::Write(aDocument);
  std::string text = "{";
  for (const auto& field : value.get_object()) {
    text += text.size() > 1 ? ",\n  " : "\n  ";
    text += json::serialize(json::string(field.key())) + ": ";
    AppendIndented(text, field.value());
  }
  return text + "\n}\n";
}

Parsed<AuditEntry>
ParseAuditEntry(std::string_view aText)
{
  return ParseText<AuditEntry>(aText, UnknownFields::Reject);
}

std::string
WriteAuditEntry(const AuditEntry& aEntry)
{
  return json::serialize(JsonWriter::Write(aEntry));
}

AuditEntry
AuditEntryOf(const Document& aDocument)
{
  return { aDocument.mGeneration, aDocument.mSubmission, aDocument.mChange };
}

Parsed<Service>
WithFields(const Service& aBase, const FieldTexts& aFields)
{
  json::value value = JsonWriter::Write(aBase);
  for (const auto& [key, text] : aFields) {
    // A name that consists of digits is a string, not a number.
    value.get_object()[key] =
      key == "name" ? json::value(json::string(text)) : JsonFromText(text);
  }
  return ReadValue<Service>(value, {});
}

} // namespace snipepost
