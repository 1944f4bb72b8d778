#include "steer/src/lookup.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "steer/src/idempotency_key.h"

namespace baobabwall::steer {
namespace internal {

constexpr uint64_t kRandomIncrement = 0x9e3779b97f4a7c15;
constexpr int kMaxRedraws = 8;

/// Finalizer of a 64-bit hash; derives independent random values from a seed.
uint64_t MixBits(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/// \returns a hash of all fields from which an index is built.
uint64_t Signature(const Snapshot& snapshot) {
  uint64_t signature = snapshot.instances.size();
  for (const InstanceView& view : snapshot.instances) {
    for (const std::string* text :
         {&view.id.name, &view.zone, &view.region, &view.address}) {
      signature = base::StableHash(*text, signature);
    }
    const auto incarnation_and_port =
        static_cast<uint64_t>(view.id.incarnation) ^
        static_cast<uint64_t>(view.caller_port) << 48;
    signature = MixBits(signature + incarnation_and_port) +
                (view.is_leaving ? 1 : 0) + (view.is_suspect ? 2 : 0);
  }
  return signature;
}

}  // namespace internal

std::shared_ptr<const LookupIndex> LookupIndex::Make(
    const Snapshot& snapshot,
    std::shared_ptr<const LookupIndex> previous) {
  if (previous != nullptr &&
      previous->signature_ == internal::Signature(snapshot)) {
    return previous;
  }
  return std::make_shared<LookupIndex>(snapshot);
}

LookupIndex::LookupIndex(const Snapshot& snapshot)
    : signature_(internal::Signature(snapshot)) {
  for (const InstanceView& instance : snapshot.instances) {
    if (instance.is_leaving) {
      continue;
    }
    Member member{
        instance.id.name,
        instance.address,
        instance.caller_port,
        absl::StrCat(instance.id.name, ".", instance.id.incarnation, "."),
        instance.region,
        instance.zone};
    (instance.is_suspect ? suspects_ : members_).push_back(std::move(member));
  }
  std::sort(members_.begin(), members_.end(),
            [](const Member& a, const Member& b) {
              return std::tie(a.region, a.zone, a.name) <
                     std::tie(b.region, b.zone, b.name);
            });
  const auto extend = [](Range* range, size_t offset) {
    range->begin = range->end == 0 ? offset : range->begin;
    range->end = offset + 1;
  };
  for (size_t i = 0; i < members_.size(); ++i) {
    extend(&zone_ranges_[members_[i].zone], i);
    extend(&region_ranges_[members_[i].region], i);
  }
}

void LookupIndex::SelectInstances(absl::string_view home_zone,
                                  absl::string_view home_region,
                                  uint64_t random_value,
                                  absl::Time key_expiry,
                                  std::vector<LookupEntry>* entries) const {
  const auto find = [](const auto& ranges, absl::string_view name) {
    const auto found = ranges.find(name);
    return found == ranges.end() ? Range() : found->second;
  };
  const Range zone = find(zone_ranges_, home_zone);
  const Range region = find(region_ranges_, home_region);
  const int64_t expiry_ms = absl::ToUnixMillis(key_expiry);
  entries->reserve(kMaxEntries);
  const auto add = [&](const Member& member) {
    entries->push_back(
        {member.name, member.address, member.port,
         absl::StrCat(member.key_prefix_without_expiry, expiry_ms)});
  };
  std::array<size_t, kMaxEntries> selected;
  size_t selected_count = 0;
  // Draws instances from `outer` without the nested range `inner`.
  const auto select_from = [&](const Range& outer, const Range& inner,
                               size_t max_count) {
    const size_t inner_size = inner.end - inner.begin;
    const size_t size = outer.end - outer.begin - inner_size;
    const size_t first_selected = selected_count;
    for (size_t n = 0; n < std::min(max_count, size); ++n) {
      random_value =
          internal::MixBits(random_value + internal::kRandomIncrement);
      size_t offset = random_value % size;
      const auto position = [&] {
        const size_t at = outer.begin + offset;
        return inner_size > 0 && at >= inner.begin ? at + inner_size : at;
      };
      const auto is_selected = [&] {
        const auto end = selected.begin() + selected_count;
        return std::find(selected.begin() + first_selected, end, position()) !=
               end;
      };
      // Draws again instead of taking the next position. Otherwise the instance
      // after the first drawn instance would be drawn second twice as often as
      // any other instance.
      for (int redraws = 0; redraws < internal::kMaxRedraws && is_selected();
           ++redraws) {
        random_value =
            internal::MixBits(random_value + internal::kRandomIncrement);
        offset = random_value % size;
      }
      while (is_selected()) {
        offset = (offset + 1) % size;
      }
      selected[selected_count++] = position();
      add(members_[position()]);
    }
  };
  const Range all{0, members_.size()};
  select_from(zone, {}, kMaxHomeZoneEntries);
  // If no region is declared for the home zone, the range of the zone is not
  // part of the range of the home region.
  const bool is_nested =
      zone.begin >= region.begin && zone.end <= region.end && zone.end > 0;
  select_from(region, is_nested ? zone : Range(),
              std::min(kMaxHomeRegionEntries, kMaxEntries - entries->size()));
  const Range home = region.end > 0 ? region : zone;
  select_from(all, home, kMaxEntries - entries->size());
  // If the other regions have too few instances, the remaining instances of the
  // home region fill the list in their existing order.
  const size_t home_count = home.end - home.begin;
  for (size_t n = 0; n < home_count && entries->size() < kMaxEntries; ++n) {
    const size_t at = home.begin + (random_value + n) % home_count;
    if (std::find(selected.begin(), selected.begin() + selected_count, at) ==
        selected.begin() + selected_count) {
      selected[selected_count++] = at;
      add(members_[at]);
    }
  }
  for (size_t n = 0; n < suspects_.size() && entries->size() < kMaxEntries;
       ++n) {
    add(suspects_[(random_value + n) % suspects_.size()]);
  }
}

LookupAnswer Lookup(const Snapshot& snapshot,
                    absl::string_view service,
                    absl::string_view client_address,
                    absl::Time now) {
  LookupAnswer answer;
  answer.revision = snapshot.configuration->revision();
  if (!snapshot.is_ready) {
    return answer;
  }
  const auto found = snapshot.configuration->services().find(service);
  if (found == snapshot.configuration->services().end()) {
    answer.status = LookupAnswer::Status::kUnknownService;
    return answer;
  }
  absl::string_view home_zone = snapshot.zone;
  const auto address = model::ClientAddress::Parse(client_address);
  if (address) {
    const absl::string_view zone =
        snapshot.configuration->client_blocks().HomeZone(*address);
    home_zone = zone.empty() ? home_zone : zone;
  }
  absl::string_view home_region = snapshot.configuration->RegionOf(home_zone);
  if (home_region.empty()) {
    home_region = snapshot.region;
  }
  std::optional<LookupIndex> temporary_index;
  const LookupIndex* index = snapshot.lookup_index.get();
  if (index == nullptr) {
    index = &temporary_index.emplace(snapshot);
  }
  index->SelectInstances(home_zone, home_region,
                         base::StableHash(client_address), now + kKeyLifetime,
                         &answer.entries);
  answer.status = answer.entries.empty() ? LookupAnswer::Status::kNotReady
                                         : LookupAnswer::Status::kFound;
  answer.ttl = found->second.lookup_ttl;
  return answer;
}

}  // namespace baobabwall::steer
