#pragma once

#include <span>
#include <string>
#include <vector>

#include <http_parser.h>

#include <snipepost/Http1/Message.h>

namespace snipepost::http1 {

/// Parses the messages of a connection one at a time with the http_parser
/// library.
class Parser
{
public:
  Parser(http_parser_type aType, size_t aMaxBody);

  /// Parses bytes. Returns false when they are malformed or the message is too
  /// large.
  bool Feed(std::span<const char> aBytes);
  /// Reports that the peer closed the connection, which completes a response
  /// without a length.
  bool FeedEnd() { return Feed({}); }

  bool Complete() const { return mComplete; }
  bool KeepAlive() const { return mKeepAlive; }
  /// Prepares for the next message on the connection.
  void Restart();

  std::string mTarget;
  std::string mBody;
  std::vector<HeaderField> mHeaders;
  std::string Method() const;
  unsigned Status() const { return mParser.status_code; }

private:
  static int OnUrl(http_parser* aParser, const char* aData, size_t aSize);
  static int OnHeaderName(http_parser* aParser,
                          const char* aData,
                          size_t aSize);
  static int OnHeaderValue(http_parser* aParser,
                           const char* aData,
                           size_t aSize);
  static int OnBody(http_parser* aParser, const char* aData, size_t aSize);
  static int OnComplete(http_parser* aParser);

  http_parser_type mType;
  size_t mMaxBody;
  http_parser mParser{};
  http_parser_settings mSettings{};
  /// The last header field has its value, so more text starts a new one.
  bool mHeaderComplete = true;
  bool mComplete = false;
  bool mKeepAlive = false;
};

} // namespace snipepost::http1
