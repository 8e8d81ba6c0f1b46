#include "src/Document/StructureScan.h"

#include <set>
#include <string>

#include <boost/json/basic_parser_impl.hpp>

#include <snipepost/Document/Codec.h>

#include "src/Document/JsonReader.h"

namespace snipepost {

namespace json = boost::json;

namespace {

/// Nesting depth at which the scan stops. Between kMaxDocumentDepth and this
/// limit it continues after reporting the depth, to find further errors.
constexpr size_t kScanDepth = 64;

/// Handler of Boost.JSON's event parser, whose interface requires these names.
// NOLINTBEGIN(readability-identifier-naming)
struct Handler
{
  static constexpr size_t max_object_size = -1;
  static constexpr size_t max_array_size = -1;
  static constexpr size_t max_key_size = -1;
  static constexpr size_t max_string_size = -1;

  using Error = json::error_code;

  bool on_document_begin(Error&) { return true; }
  bool on_document_end(Error&) { return true; }
  bool on_object_begin(Error&) { return EnterContainer(false); }
  bool on_object_end(size_t, Error&) { return LeaveContainer(); }
  bool on_array_begin(Error&) { return EnterContainer(true); }
  bool on_array_end(size_t, Error&) { return LeaveContainer(); }
  bool on_key_part(json::string_view aPart, size_t, Error&)
  {
    mKey.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(json::string_view aPart, size_t, Error&)
  {
    mKey.append(aPart.data(), aPart.size());
    mFrames.back().mToken = PointerToken(mKey);
    if (!mFrames.back().mKeys.insert(mKey).second) {
      mErrors.push_back({ Pointer(), "repeated field" });
    }
    mKey.clear();
    return true;
  }
  bool on_string_part(json::string_view, size_t, Error&) { return true; }
  bool on_string(json::string_view, size_t, Error&) { return EndValue(); }
  bool on_number_part(json::string_view, Error&) { return true; }
  bool on_int64(int64_t, json::string_view, Error&) { return EndValue(); }
  bool on_uint64(uint64_t, json::string_view, Error&) { return EndValue(); }
  bool on_double(double, json::string_view, Error&) { return EndValue(); }
  bool on_bool(bool, Error&) { return EndValue(); }
  bool on_null(Error&) { return EndValue(); }
  bool on_comment_part(json::string_view, Error&) { return true; }
  bool on_comment(json::string_view, Error&) { return true; }

  struct Frame
  {
    bool mArray = false;
    size_t mIndex = 0;
    std::string mToken;
    std::set<std::string> mKeys;
  };

  bool EnterContainer(bool aArray)
  {
    if (mFrames.size() == kMaxDocumentDepth) {
      mErrors.push_back(
        { Pointer(),
          "nesting depth exceeds " + std::to_string(kMaxDocumentDepth) });
    }
    mFrames.push_back({ aArray, 0, {}, {} });
    return true;
  }

  bool LeaveContainer()
  {
    mFrames.pop_back();
    return EndValue();
  }

  bool EndValue()
  {
    if (!mFrames.empty()) {
      ++mFrames.back().mIndex;
    }
    return true;
  }

  std::string Pointer() const
  {
    std::string pointer;
    for (const Frame& frame : mFrames) {
      pointer += "/";
      pointer += frame.mArray ? std::to_string(frame.mIndex) : frame.mToken;
    }
    return pointer;
  }

  std::string mKey;
  std::vector<Frame> mFrames;
  std::vector<DocumentError> mErrors;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::vector<DocumentError>
ScanStructure(std::string_view aText)
{
  json::parse_options options;
  options.max_depth = kScanDepth;
  json::basic_parser<Handler> parser(options);
  json::error_code error;
  const size_t consumed =
    parser.write_some(false, aText.data(), aText.size(), error);
  auto& handler = parser.handler();
  const auto position = " at byte " + std::to_string(consumed);
  if (error) {
    handler.mErrors.push_back(
      { handler.Pointer(), "syntax error: " + error.message() + position });
  } else if (consumed < aText.size()) {
    handler.mErrors.push_back({ "", "text after the document" + position });
  }
  return std::move(handler.mErrors);
}

} // namespace snipepost
