#include <snipepost/Quic/Credentials.h>

#include <array>
#include <ctime>
#include <new>

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

namespace snipepost {

namespace {

constexpr time_t kSelfSignedBackdating = 60;
constexpr time_t kSelfSignedValidity = 86400;

using KeyPtr = std::unique_ptr<gnutls_x509_privkey_int,
                               decltype(&gnutls_x509_privkey_deinit)>;
using CertificatePtr =
  std::unique_ptr<gnutls_x509_crt_int, decltype(&gnutls_x509_crt_deinit)>;

KeyPtr
MakeKey()
{
  gnutls_x509_privkey_t key = nullptr;
  if (gnutls_x509_privkey_init(&key) != 0) {
    return { nullptr, gnutls_x509_privkey_deinit };
  }
  KeyPtr owned(key, gnutls_x509_privkey_deinit);
  const unsigned bits = GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1);
  if (gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, bits, 0) != 0) {
    owned.reset();
  }
  return owned;
}

bool
FillCertificate(gnutls_x509_crt_t aCertificate,
                gnutls_x509_privkey_t aKey,
                const std::string& aName)
{
  std::array<unsigned char, 8> serial;
  gnutls_rnd(GNUTLS_RND_NONCE, serial.data(), serial.size());
  // A serial number must be a positive integer.
  serial[0] = (serial[0] & 0x7f) | 1;
  const time_t now = time(nullptr);
  const auto size = static_cast<unsigned>(aName.size());
  return gnutls_x509_crt_set_version(aCertificate, 3) == 0 &&
         gnutls_x509_crt_set_key(aCertificate, aKey) == 0 &&
         gnutls_x509_crt_set_dn_by_oid(
           aCertificate, GNUTLS_OID_X520_COMMON_NAME, 0, aName.data(), size) ==
           0 &&
         gnutls_x509_crt_set_subject_alt_name(
           aCertificate, GNUTLS_SAN_DNSNAME, aName.data(), size, 0) == 0 &&
         gnutls_x509_crt_set_serial(
           aCertificate, serial.data(), serial.size()) == 0 &&
         gnutls_x509_crt_set_activation_time(
           aCertificate, now - kSelfSignedBackdating) == 0 &&
         gnutls_x509_crt_set_expiration_time(aCertificate,
                                             now + kSelfSignedValidity) == 0 &&
         gnutls_x509_crt_sign2(
           aCertificate, aCertificate, aKey, GNUTLS_DIG_SHA256, 0) == 0;
}

} // namespace

std::string
CertificateError::Text() const
{
  const std::string reason = gnutls_strerror(mCode);
  return mFile.empty()
           ? reason
           : mFile +
               ": can't load this certificate or its private key: " + reason;
}

Credentials::Credentials(Native aNative)
  : mNative(aNative, gnutls_certificate_free_credentials)
{
}

Credentials
Credentials::Allocate()
{
  Native native = nullptr;
  if (gnutls_certificate_allocate_credentials(&native) != 0) {
    throw std::bad_alloc();
  }
  return Credentials(native);
}

Result<Credentials>
Credentials::LoadPem(const std::string& aChainFile, const std::string& aKeyFile)
{
  Credentials credentials = Allocate();
  const int code = gnutls_certificate_set_x509_key_file(credentials.Handle(),
                                                        aChainFile.c_str(),
                                                        aKeyFile.c_str(),
                                                        GNUTLS_X509_FMT_PEM);
  if (code < 0) {
    return leaf::new_error(CertificateError{ code, aChainFile });
  }
  return credentials;
}

Result<Credentials>
Credentials::MakeSelfSigned(const std::string& aName)
{
  KeyPtr key = MakeKey();
  gnutls_x509_crt_t certificate = nullptr;
  if (!key || gnutls_x509_crt_init(&certificate) != 0) {
    return leaf::new_error(CertificateError{ GNUTLS_E_MEMORY_ERROR, {} });
  }
  CertificatePtr owned(certificate, gnutls_x509_crt_deinit);
  Credentials credentials = Allocate();
  if (!FillCertificate(certificate, key.get(), aName) ||
      gnutls_certificate_set_x509_key(
        credentials.Handle(), &certificate, 1, key.get()) < 0) {
    return leaf::new_error(CertificateError{ GNUTLS_E_CERTIFICATE_ERROR, {} });
  }
  return credentials;
}

Credentials
Credentials::ForInsecureClient()
{
  return Allocate();
}

} // namespace snipepost
