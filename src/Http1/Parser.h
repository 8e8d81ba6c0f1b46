#pragma once

#include <span>
#include <string>

#include <http_parser.h>

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
  std::string Method() const;
  unsigned Status() const { return mParser.status_code; }

private:
  static int OnUrl(http_parser* aParser, const char* aData, size_t aSize);
  static int OnBody(http_parser* aParser, const char* aData, size_t aSize);
  static int OnComplete(http_parser* aParser);

  http_parser_type mType;
  size_t mMaxBody;
  http_parser mParser{};
  http_parser_settings mSettings{};
  bool mComplete = false;
  bool mKeepAlive = false;
};

} // namespace snipepost::http1
