#include "src/Http1/Parser.h"

namespace snipepost::http1 {

namespace {

constexpr size_t kMaxTarget = 4096;

Parser&
Self(http_parser* aParser)
{
  return *static_cast<Parser*>(aParser->data);
}

} // namespace

Parser::Parser(http_parser_type aType, size_t aMaxBody)
  : mType(aType)
  , mMaxBody(aMaxBody)
{
  http_parser_settings_init(&mSettings);
  mSettings.on_url = &Parser::OnUrl;
  mSettings.on_header_field = &Parser::OnHeaderName;
  mSettings.on_header_value = &Parser::OnHeaderValue;
  mSettings.on_body = &Parser::OnBody;
  mSettings.on_message_complete = &Parser::OnComplete;
  Restart();
}

void
Parser::Restart()
{
  http_parser_init(&mParser, mType);
  mParser.data = this;
  mTarget.clear();
  mBody.clear();
  mHeaders.clear();
  mHeaderComplete = true;
  mComplete = false;
  mKeepAlive = false;
}

bool
Parser::Feed(std::span<const char> aBytes)
{
  const size_t used =
    http_parser_execute(&mParser, &mSettings, aBytes.data(), aBytes.size());
  if (mComplete) {
    return true;
  }
  return used == aBytes.size() && mParser.http_errno == HPE_OK;
}

std::string
Parser::Method() const
{
  return http_method_str(static_cast<http_method>(mParser.method));
}

int
Parser::OnUrl(http_parser* aParser, const char* aData, size_t aSize)
{
  Parser& self = Self(aParser);
  self.mTarget.append(aData, aSize);
  return self.mTarget.size() > kMaxTarget ? 1 : 0;
}

// The library limits the size of all header fields together.
int
Parser::OnHeaderName(http_parser* aParser, const char* aData, size_t aSize)
{
  Parser& self = Self(aParser);
  if (self.mHeaderComplete) {
    self.mHeaders.emplace_back();
    self.mHeaderComplete = false;
  }
  self.mHeaders.back().mName.append(aData, aSize);
  return 0;
}

int
Parser::OnHeaderValue(http_parser* aParser, const char* aData, size_t aSize)
{
  Parser& self = Self(aParser);
  if (self.mHeaders.empty()) {
    return 1;
  }
  self.mHeaderComplete = true;
  self.mHeaders.back().mValue.append(aData, aSize);
  return 0;
}

int
Parser::OnBody(http_parser* aParser, const char* aData, size_t aSize)
{
  Parser& self = Self(aParser);
  self.mBody.append(aData, aSize);
  return self.mBody.size() > self.mMaxBody ? 1 : 0;
}

int
Parser::OnComplete(http_parser* aParser)
{
  Parser& self = Self(aParser);
  self.mComplete = true;
  self.mKeepAlive = http_should_keep_alive(aParser) != 0;
  // Stops parsing before the bytes of the next message.
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace snipepost::http1
