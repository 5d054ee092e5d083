#include <LibModel/ClientAccount.h>

#include <openssl/evp.h>

#include <array>

namespace laburnum {

std::string keyDigest(std::string const &Key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  EVP_Digest(Key.data(), Key.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  constexpr char Digits[] = "0123456789abcdef";
  constexpr unsigned int BitsPerDigit = 4;
  constexpr unsigned int LowDigit = 0xF;
  std::string Text;
  for (unsigned int Index = 0; Index < Size; ++Index) {
    Text.push_back(Digits[Digest[Index] >> BitsPerDigit]);
    Text.push_back(Digits[Digest[Index] & LowDigit]);
  }
  return Text;
}

} // namespace laburnum
