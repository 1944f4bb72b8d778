#ifndef MODEL_SRC_CLIENT_BLOCK_TABLE_H_
#define MODEL_SRC_CLIENT_BLOCK_TABLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "model/src/spec.h"

namespace baobabwall::model {

/// \brief An IP address. IPv4 addresses are stored as IPv4-mapped IPv6.
struct ClientAddress {
  uint64_t high = 0;
  uint64_t low = 0;

  static std::optional<ClientAddress> Parse(absl::string_view text);
};

/// \brief A block of client addresses that share a CIDR prefix.
struct ClientBlock {
  ClientAddress first;
  int prefix_length = 128;  ///< IPv6 prefix length; 120 for an IPv4 /24.

  /// \returns nullopt if the text is not a CIDR prefix or has host bits set.
  static std::optional<ClientBlock> Parse(absl::string_view text);

  /// \returns the block in CIDR notation, which Parse() accepts.
  std::string ToString() const;
};

/// \brief The blocks of one ClientBlocks resource, sorted by address.
///
/// An IPv4 block takes 7 bytes and an IPv6 block 19 bytes, while the JSON text
/// takes at least 16 bytes per block. SpecText() creates the JSON text on
/// demand.
class ClientBlockChunk {
 public:
  /// \param spec a spec that ParseSpec() has validated.
  explicit ClientBlockChunk(const ClientBlocks& spec);

  size_t size() const {
    return v4_first_addresses_.size() + v6_first_addresses_.size();
  }
  size_t v4_size() const { return v4_first_addresses_.size(); }
  /// \returns the block at index `i`; IPv4 blocks precede IPv6 blocks.
  ClientBlock block(size_t i) const;
  absl::string_view zone(size_t i) const {
    return zone_names_[zone_indices_[i]];
  }
  uint16_t zone_index(size_t i) const { return zone_indices_[i]; }
  const std::vector<std::string>& zones() const { return zone_names_; }

  /// \returns the spec as JSON text.
  std::string SpecText() const;

 private:
  std::vector<uint32_t> v4_first_addresses_;
  std::vector<std::array<uint64_t, 2>> v6_first_addresses_;
  /// Prefix length of every IPv4 and IPv6 block, in IPv6 bits.
  std::vector<uint8_t> prefix_lengths_;
  /// Index of the block's zone in zone_names_, for every IPv4 and IPv6 block.
  std::vector<uint16_t> zone_indices_;
  std::vector<std::string> zone_names_;
};

/// \brief Maps client addresses to home zones by longest prefix match.
///
/// The blocks are compiled into sorted, disjoint ranges, so that a lookup takes
/// a single binary search. An IPv4 range takes 6 bytes and an IPv6 range 18
/// bytes.
class ClientBlockTable {
 public:
  class Builder {
   public:
    Builder& Add(const ClientBlock& block, absl::string_view zone);
    ClientBlockTable Build();

   private:
    struct Entry {
      ClientBlock block;
      uint16_t zone;
    };
    std::vector<Entry> entries_;
    std::vector<std::string> zone_names_;
  };

  /// \brief Compiles the blocks of several resources. If several chunks contain
  /// the same block, the zone in the last of these chunks applies.
  static ClientBlockTable Merge(
      absl::Span<const std::shared_ptr<const ClientBlockChunk>> chunks);

  /// \returns the home zone, or an empty view if no block contains the address.
  absl::string_view HomeZone(const ClientAddress& address) const;

  size_t range_count() const {
    return v4_first_addresses_.size() + v6_first_addresses_.size();
  }
  size_t memory_bytes() const;

 private:
  friend class TableWriter;
  static constexpr uint16_t kNoZoneIndex = 0xffff;

  // Parallel arrays: a range ends where the next range begins.
  std::vector<uint32_t> v4_first_addresses_;
  std::vector<uint16_t> v4_zone_indices_;
  std::vector<std::array<uint64_t, 2>> v6_first_addresses_;
  std::vector<uint16_t> v6_zone_indices_;
  std::vector<std::string> zone_names_;
};

}  // namespace baobabwall::model

#endif  // MODEL_SRC_CLIENT_BLOCK_TABLE_H_
