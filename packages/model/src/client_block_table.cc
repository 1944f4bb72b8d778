#include "model/src/client_block_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace baobabwall::model {
namespace internal {

constexpr int kIpv4PrefixOffset = 96;
constexpr uint64_t kIpv4MappedPrefix = 0x0000ffff00000000;

uint64_t LoadBigEndian(const unsigned char* bytes) {
  uint64_t value = 0;
  for (int i = 0; i < 8; ++i) {
    value = value << 8 | bytes[i];
  }
  return value;
}

bool IsV4(const ClientAddress& address) {
  return address.high == 0 &&
         (address.low & 0xffffffff00000000) == kIpv4MappedPrefix;
}

std::tuple<uint64_t, uint64_t> AddressKey(const ClientAddress& address) {
  return {address.high, address.low};
}

/// \returns a mask in which every bit after the prefix is set.
ClientAddress HostMask(int prefix_length) {
  ClientAddress mask;
  mask.high = prefix_length >= 64 ? 0 : ~uint64_t{0} >> prefix_length;
  mask.low = prefix_length <= 64    ? ~uint64_t{0}
             : prefix_length == 128 ? 0
                                    : ~uint64_t{0} >> (prefix_length - 64);
  return mask;
}

ClientAddress LastAddress(const ClientBlock& block) {
  const ClientAddress mask = HostMask(block.prefix_length);
  return {block.first.high | mask.high, block.first.low | mask.low};
}

bool IsV4Block(const ClientBlock& block) {
  return block.prefix_length >= kIpv4PrefixOffset && IsV4(block.first);
}

/// Sort key that places an enclosing block before the nested blocks that start
/// at the same address.
using BlockKey = std::tuple<uint64_t, uint64_t, int>;

BlockKey BlockSortKey(const ClientBlock& block) {
  return {block.first.high, block.first.low, block.prefix_length};
}

ClientAddress NextAddress(ClientAddress address) {
  if (++address.low == 0) {
    ++address.high;
  }
  return address;
}

}  // namespace internal

std::optional<ClientAddress> ClientAddress::Parse(absl::string_view text) {
  const std::string null_terminated_text(text);
  unsigned char bytes[16] = {};
  if (inet_pton(AF_INET, null_terminated_text.c_str(), bytes) == 1) {
    ClientAddress address;
    address.low =
        internal::kIpv4MappedPrefix | internal::LoadBigEndian(bytes) >> 32;
    return address;
  }
  if (inet_pton(AF_INET6, null_terminated_text.c_str(), bytes) != 1) {
    return std::nullopt;
  }
  return ClientAddress{internal::LoadBigEndian(bytes),
                       internal::LoadBigEndian(bytes + 8)};
}

std::optional<ClientBlock> ClientBlock::Parse(absl::string_view text) {
  const size_t slash = text.find('/');
  if (slash == absl::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<ClientAddress> first =
      ClientAddress::Parse(text.substr(0, slash));
  int prefix_length = 0;
  if (!first || !absl::SimpleAtoi(text.substr(slash + 1), &prefix_length) ||
      prefix_length < 0) {
    return std::nullopt;
  }
  if (text.find(':') == absl::string_view::npos) {
    prefix_length += internal::kIpv4PrefixOffset;
  }
  if (prefix_length > 128) {
    return std::nullopt;
  }
  ClientBlock block{*first, prefix_length};
  // A prefix that has host bits set is rejected, because such a prefix is
  // probably a typing error.
  const ClientAddress host_mask = internal::HostMask(prefix_length);
  if ((first->high & host_mask.high) != 0 ||
      (first->low & host_mask.low) != 0) {
    return std::nullopt;
  }
  return block;
}

std::string ClientBlock::ToString() const {
  char text[INET6_ADDRSTRLEN] = {};
  if (internal::IsV4Block(*this)) {
    const auto address = static_cast<uint32_t>(first.low);
    return absl::StrCat(address >> 24, ".", address >> 16 & 0xff, ".",
                        address >> 8 & 0xff, ".", address & 0xff, "/",
                        prefix_length - internal::kIpv4PrefixOffset);
  }
  unsigned char bytes[16];
  for (int i = 0; i < 8; ++i) {
    bytes[i] = static_cast<unsigned char>(first.high >> (56 - 8 * i));
    bytes[8 + i] = static_cast<unsigned char>(first.low >> (56 - 8 * i));
  }
  inet_ntop(AF_INET6, bytes, text, sizeof(text));
  return absl::StrCat(text, "/", prefix_length);
}

ClientBlockTable::Builder& ClientBlockTable::Builder::Add(
    const ClientBlock& block,
    absl::string_view zone) {
  auto found = std::find(zone_names_.begin(), zone_names_.end(), zone);
  if (found == zone_names_.end()) {
    found = zone_names_.insert(zone_names_.end(), std::string(zone));
  }
  entries_.push_back({block, static_cast<uint16_t>(
                                 std::distance(zone_names_.begin(), found))});
  return *this;
}

/// Builds a table from blocks that are sorted by first address. An enclosing
/// block must precede the nested blocks that start at the same address.
class TableWriter {
 public:
  explicit TableWriter(std::vector<std::string> zones) {
    table_.zone_names_ = std::move(zones);
  }

  void Reserve(size_t v4_count, size_t v6_count) {
    table_.v4_first_addresses_.reserve(v4_count);
    table_.v4_zone_indices_.reserve(v4_count);
    table_.v6_first_addresses_.reserve(v6_count);
    table_.v6_zone_indices_.reserve(v6_count);
  }

  void Add(const ClientBlock& block, uint16_t zone) {
    CloseBlocksBefore(&block.first);
    AppendRange(block.first, zone);
    enclosing_blocks_.push_back({internal::LastAddress(block), zone});
  }

  ClientBlockTable Finish() {
    CloseBlocksBefore(nullptr);
    table_.v4_first_addresses_.shrink_to_fit();
    table_.v4_zone_indices_.shrink_to_fit();
    table_.v6_first_addresses_.shrink_to_fit();
    table_.v6_zone_indices_.shrink_to_fit();
    return std::move(table_);
  }

 private:
  struct EnclosingBlock {
    ClientAddress last;
    uint16_t zone;
  };

  void AppendRange(const ClientAddress& first, uint16_t zone) {
    if (internal::IsV4(first)) {
      AppendRangeTo(static_cast<uint32_t>(first.low), zone,
                    &table_.v4_first_addresses_, &table_.v4_zone_indices_);
      return;
    }
    AppendRangeTo(std::array<uint64_t, 2>{first.high, first.low}, zone,
                  &table_.v6_first_addresses_, &table_.v6_zone_indices_);
  }

  template <typename Address>
  void AppendRangeTo(const Address& address,
                     uint16_t zone,
                     std::vector<Address>* first_addresses,
                     std::vector<uint16_t>* zones) {
    if (!first_addresses->empty() && first_addresses->back() == address) {
      zones->back() = zone;
      return;
    }
    first_addresses->push_back(address);
    zones->push_back(zone);
  }

  void CloseBlocksBefore(const ClientAddress* next_first) {
    while (!enclosing_blocks_.empty()) {
      const ClientAddress last = enclosing_blocks_.back().last;
      if (next_first != nullptr &&
          internal::AddressKey(*next_first) <= internal::AddressKey(last)) {
        return;
      }
      enclosing_blocks_.pop_back();
      const ClientAddress next_address = internal::NextAddress(last);
      const bool is_address_space_end =
          next_address.high == 0 && next_address.low == 0;
      const bool is_v4_end =
          internal::IsV4(last) && !internal::IsV4(next_address);
      if (is_address_space_end || is_v4_end) {
        continue;
      }
      AppendRange(next_address, enclosing_blocks_.empty()
                                    ? ClientBlockTable::kNoZoneIndex
                                    : enclosing_blocks_.back().zone);
    }
  }

  ClientBlockTable table_;
  /// Blocks that contain the current address; the innermost block is last.
  std::vector<EnclosingBlock> enclosing_blocks_;
};

ClientBlockTable ClientBlockTable::Builder::Build() {
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& a, const Entry& b) {
                     return internal::BlockSortKey(a.block) <
                            internal::BlockSortKey(b.block);
                   });
  TableWriter writer(zone_names_);
  for (const Entry& entry : entries_) {
    writer.Add(entry.block, entry.zone);
  }
  return writer.Finish();
}

ClientBlockChunk::ClientBlockChunk(const ClientBlocks& spec) {
  struct Entry {
    ClientBlock block;
    uint16_t zone;
  };
  std::map<std::string, uint16_t, std::less<>> index_by_zone;
  for (const ClientBlocks::Block& block : spec.blocks) {
    index_by_zone[block.zone] = 0;
  }
  for (auto& [name, zone_index] : index_by_zone) {
    zone_index = static_cast<uint16_t>(zone_names_.size());
    zone_names_.push_back(name);
  }
  std::vector<Entry> entries;
  entries.reserve(spec.blocks.size());
  size_t v4_count = 0;
  for (const ClientBlocks::Block& block : spec.blocks) {
    entries.push_back(
        {*ClientBlock::Parse(block.prefix), index_by_zone[block.zone]});
    v4_count += internal::IsV4Block(entries.back().block) ? 1 : 0;
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const Entry& a, const Entry& b) {
                     return internal::BlockSortKey(a.block) <
                            internal::BlockSortKey(b.block);
                   });
  v4_first_addresses_.reserve(v4_count);
  v6_first_addresses_.reserve(entries.size() - v4_count);
  prefix_lengths_.reserve(entries.size());
  zone_indices_.reserve(entries.size());
  for (const bool is_v4 : {true, false}) {
    for (const Entry& entry : entries) {
      if (internal::IsV4Block(entry.block) != is_v4) {
        continue;
      }
      if (is_v4) {
        v4_first_addresses_.push_back(
            static_cast<uint32_t>(entry.block.first.low));
      } else {
        v6_first_addresses_.push_back(
            {entry.block.first.high, entry.block.first.low});
      }
      prefix_lengths_.push_back(
          static_cast<uint8_t>(entry.block.prefix_length));
      zone_indices_.push_back(entry.zone);
    }
  }
}

ClientBlock ClientBlockChunk::block(size_t i) const {
  if (i < v4_first_addresses_.size()) {
    return {{0, internal::kIpv4MappedPrefix | v4_first_addresses_[i]},
            prefix_lengths_[i]};
  }
  const auto& first = v6_first_addresses_[i - v4_first_addresses_.size()];
  return {{first[0], first[1]}, prefix_lengths_[i]};
}

std::string ClientBlockChunk::SpecText() const {
  std::vector<std::string> prefix_lists(zone_names_.size());
  for (size_t i = 0; i < size(); ++i) {
    std::string& prefix_list = prefix_lists[zone_indices_[i]];
    absl::StrAppend(&prefix_list, prefix_list.empty() ? "\"" : ",\"",
                    block(i).ToString(), "\"");
  }
  std::string text = "{\"blocks\":{";
  for (size_t i = 0; i < zone_names_.size(); ++i) {
    absl::StrAppend(&text, i == 0 ? "" : ",",
                    nlohmann::json(zone_names_[i]).dump(), ":[",
                    prefix_lists[i], "]");
  }
  return text + "}}";
}

ClientBlockTable ClientBlockTable::Merge(
    absl::Span<const std::shared_ptr<const ClientBlockChunk>> chunks) {
  struct Cursor {
    const ClientBlockChunk* chunk;
    size_t chunk_index;
    size_t next;
    size_t end;
    /// Zone index in the merged table for each zone of the chunk.
    std::vector<uint16_t> zones;

    std::tuple<internal::BlockKey, size_t> key() const {
      return {internal::BlockSortKey(chunk->block(next)), chunk_index};
    }
  };
  std::map<std::string, uint16_t, std::less<>> index_by_zone;
  std::vector<std::string> zones;
  std::vector<Cursor> cursors;
  size_t total_v4_count = 0;
  size_t total_v6_count = 0;
  for (const auto& chunk : chunks) {
    std::vector<uint16_t> zone_indices;
    for (const std::string& zone : chunk->zones()) {
      const auto [found, is_new] =
          index_by_zone.emplace(zone, static_cast<uint16_t>(zones.size()));
      if (is_new) {
        zones.push_back(zone);
      }
      zone_indices.push_back(found->second);
    }
    const size_t v4_count = chunk->v4_size();
    const size_t chunk_index = cursors.size();
    // IPv4 and IPv6 blocks are sorted separately, so each has its own cursor.
    cursors.push_back({chunk.get(), chunk_index, 0, v4_count, zone_indices});
    cursors.push_back({chunk.get(), chunk_index, v4_count, chunk->size(),
                       std::move(zone_indices)});
    total_v4_count += v4_count;
    total_v6_count += chunk->size() - v4_count;
  }
  TableWriter writer(std::move(zones));
  writer.Reserve(total_v4_count + 1, total_v6_count + 1);
  const auto has_larger_key = [&](size_t a, size_t b) {
    return cursors[a].key() > cursors[b].key();
  };
  std::priority_queue<size_t, std::vector<size_t>, decltype(has_larger_key)>
      cursor_queue(has_larger_key);
  for (size_t i = 0; i < cursors.size(); ++i) {
    if (cursors[i].next < cursors[i].end) {
      cursor_queue.push(i);
    }
  }
  while (!cursor_queue.empty()) {
    const size_t cursor_index = cursor_queue.top();
    cursor_queue.pop();
    Cursor& cursor = cursors[cursor_index];
    // Chunks rarely overlap, so the merge usually takes many consecutive blocks
    // from the same chunk before it switches to another chunk.
    do {
      writer.Add(cursor.chunk->block(cursor.next),
                 cursor.zones[cursor.chunk->zone_index(cursor.next)]);
      ++cursor.next;
    } while (cursor.next < cursor.end &&
             (cursor_queue.empty() ||
              cursor.key() < cursors[cursor_queue.top()].key()));
    if (cursor.next < cursor.end) {
      cursor_queue.push(cursor_index);
    }
  }
  return writer.Finish();
}

absl::string_view ClientBlockTable::HomeZone(
    const ClientAddress& address) const {
  uint16_t zone_index = kNoZoneIndex;
  if (internal::IsV4(address)) {
    const auto next_range =
        std::upper_bound(v4_first_addresses_.begin(), v4_first_addresses_.end(),
                         static_cast<uint32_t>(address.low));
    if (next_range != v4_first_addresses_.begin()) {
      zone_index = v4_zone_indices_[std::distance(v4_first_addresses_.begin(),
                                                  next_range) -
                                    1];
    }
  } else {
    const std::array<uint64_t, 2> address_key = {address.high, address.low};
    const auto next_range = std::upper_bound(
        v6_first_addresses_.begin(), v6_first_addresses_.end(), address_key);
    if (next_range != v6_first_addresses_.begin()) {
      zone_index = v6_zone_indices_[std::distance(v6_first_addresses_.begin(),
                                                  next_range) -
                                    1];
    }
  }
  return zone_index == kNoZoneIndex
             ? absl::string_view()
             : absl::string_view(zone_names_[zone_index]);
}

size_t ClientBlockTable::memory_bytes() const {
  return v4_first_addresses_.capacity() * sizeof(uint32_t) +
         v4_zone_indices_.capacity() * sizeof(uint16_t) +
         v6_first_addresses_.capacity() * sizeof(std::array<uint64_t, 2>) +
         v6_zone_indices_.capacity() * sizeof(uint16_t);
}

}  // namespace baobabwall::model
