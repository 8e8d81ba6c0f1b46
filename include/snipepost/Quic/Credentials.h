#pragma once

#include <memory>
#include <string>

#include <snipepost/Base/Result.h>

struct gnutls_certificate_credentials_st;

namespace snipepost {

/// A certificate that can't be used: the error code of GnuTLS, and the file of
/// the certificate chain; no file for a self-signed certificate.
struct CertificateError
{
  int mCode = 0;
  std::string mFile;

  /// The error message for logs, with the file name.
  std::string Text() const;
};

/// For a server: its TLS certificate with the private key. For a caller: an
/// empty set of trusted certificates. Copies share the same GnuTLS object.
class Credentials
{
public:
  using Native = gnutls_certificate_credentials_st*;

  /// Loads a certificate chain and a private key from PEM files. Fails with a
  /// CertificateError when a file can't be read or the key doesn't match the
  /// certificate.
  static Result<Credentials> LoadPem(const std::string& aChainFile,
                                     const std::string& aKeyFile);

  /// Creates an ECDSA P-256 key and a self-signed certificate for aName, valid
  /// for one day from one minute ago. For tests and the demo.
  static Result<Credentials> MakeSelfSigned(const std::string& aName);

  /// For a caller that doesn't verify the server's certificate, for traffic on
  /// loopback to a server that uses MakeSelfSigned().
  static Credentials ForInsecureClient();

  Native Handle() const { return mNative.get(); }

private:
  explicit Credentials(Native aNative);
  static Credentials Allocate();

  std::shared_ptr<gnutls_certificate_credentials_st> mNative;
};

} // namespace snipepost
