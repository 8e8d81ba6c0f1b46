#pragma once

#include <memory>
#include <string>

#include <snipepost/Base/Result.h>

struct gnutls_certificate_credentials_st;

namespace snipepost {

/// Why a certificate can't be used: GnuTLS's error code, and the file where
/// there is one.
struct CertificateError
{
  int mCode = 0;
  std::string mFile;

  /// The reason in words, with the file.
  std::string Text() const;
};

/// A TLS certificate with its private key, or, for a caller, the set of
/// trusted certificates. Copies share the same GnuTLS object.
class Credentials
{
public:
  using Native = gnutls_certificate_credentials_st*;

  /// Loads a certificate chain and a private key from PEM files. Fails with a
  /// CertificateError when a file can't be read or the two don't belong
  /// together.
  static Result<Credentials> LoadPem(const std::string& aChainFile,
                                     const std::string& aKeyFile);

  /// Creates an ECDSA P-256 key and a certificate for aName that it signs
  /// itself, valid for one day from one minute ago. For tests and the demo.
  static Result<Credentials> MakeSelfSigned(const std::string& aName);

  /// For a caller that doesn't verify the server's certificate: traffic on
  /// loopback against MakeSelfSigned().
  static Credentials ForUnverifyingCaller();

  Native Handle() const { return mNative.get(); }

private:
  explicit Credentials(Native aNative);
  static Credentials Allocate();

  std::shared_ptr<gnutls_certificate_credentials_st> mNative;
};

} // namespace snipepost
