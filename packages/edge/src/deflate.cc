#include "edge/src/deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::edge {
namespace internal {

namespace zlib = boost::beast::zlib;

/// Compression level from 1 to 9. The lowest level already finds the repeated
/// field names that make up most of the data.
constexpr int kLevel = 1;
/// Binary logarithm of the window size, and the use of memory from 1 to 9.
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

/// Number of digits of the size that precedes the compressed data.
constexpr size_t kSizeDigits = 8;

/// The decoder of Beast reads ahead beyond the last code, so that it does not
/// find the end of a short stream without bytes that follow it.
constexpr size_t kPaddingBytes = 4;

}  // namespace internal

std::string Deflate(absl::string_view data) {
  using internal::zlib::Flush;
  internal::zlib::deflate_stream stream;
  stream.reset(internal::kLevel, internal::kWindowBits, internal::kMemoryLevel,
               internal::zlib::Strategy::normal);
  std::string compressed(stream.upper_bound(data.size()), '\0');
  internal::zlib::z_params params;
  params.next_in = data.data();
  params.avail_in = data.size();
  params.next_out = compressed.data();
  params.avail_out = compressed.size();
  boost::beast::error_code error;
  // The output has room for any input, so that the stream ends in one call with
  // error::end_of_stream.
  stream.write(params, Flush::finish, error);
  compressed.resize(compressed.size() - params.avail_out);
  return absl::StrCat(absl::Hex(data.size(), absl::kZeroPad8), compressed);
}

std::optional<std::string> Inflate(absl::string_view data) {
  size_t size = 0;
  const bool has_size =
      absl::SimpleHexAtoi(data.substr(0, internal::kSizeDigits), &size);
  if (!has_size || data.size() < internal::kSizeDigits ||
      size > kMaxInflatedBytes) {
    return std::nullopt;
  }
  std::string padded(data.substr(internal::kSizeDigits));
  padded.append(internal::kPaddingBytes, '\0');
  std::string inflated(size, '\0');
  internal::zlib::z_params params;
  params.next_in = padded.data();
  params.avail_in = padded.size();
  params.next_out = inflated.data();
  params.avail_out = inflated.size();
  internal::zlib::inflate_stream stream;
  boost::beast::error_code error;
  stream.write(params, internal::zlib::Flush::sync, error);
  const bool is_complete =
      params.avail_out == 0 &&
      (!error || error == internal::zlib::error::end_of_stream);
  return is_complete ? std::optional<std::string>(std::move(inflated))
                     : std::nullopt;
}

}  // namespace baobabwall::edge
