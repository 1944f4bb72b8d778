#include "gateway/src/state_sources.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/base.h"
#include "control/control.h"

namespace baobabwall::gateway {
namespace internal {

using RecordsByName = std::map<std::string, InstanceRecord>;

/// \returns the newest record of each name, by region.
std::map<std::string, RecordsByName> NewestByRegion(
    const std::map<std::string, InstanceRecord>& by_key) {
  RecordsByName newest;
  for (const auto& [key, record] : by_key) {
    InstanceRecord& known = newest[record.name];
    if (known.name.empty() || known.incarnation < record.incarnation) {
      known = record;
    }
  }
  std::map<std::string, RecordsByName> regions;
  for (const auto& [name, record] : newest) {
    regions[record.region][name] = record;
  }
  return regions;
}

StateSource SourceOf(const InstanceRecord& record) {
  return {record.name, {record.callers.address, record.peer_port}};
}

}  // namespace internal

StateSources::StateSources(InstanceRecord self)
    : self_(std::move(self)), sources_{StateSource{}} {}

std::vector<InstanceRecord> StateSources::RankedReaders(
    const std::string& region,
    const std::map<std::string, InstanceRecord>& members) const {
  std::vector<std::string> names;
  for (const auto& [name, record] : members) {
    names.push_back(name);
  }
  control::SortByReaderRank(region, &names);
  // The best of each zone come first: a zone may fail as a whole.
  std::map<std::string, size_t> in_zone;
  std::vector<std::pair<size_t, InstanceRecord>> ranked;
  for (const std::string& name : names) {
    const InstanceRecord& record = members.at(name);
    ranked.emplace_back(in_zone[record.zone]++, record);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const size_t count = kLeastReaders + names.size() / kInstancesPerReader;
  ranked.resize(std::min(ranked.size(), count));
  std::vector<InstanceRecord> readers;
  for (auto& [place, record] : ranked) {
    readers.push_back(std::move(record));
  }
  return readers;
}

void StateSources::SetInstances(
    const std::map<std::string, InstanceRecord>& by_key) {
  auto regions = internal::NewestByRegion(by_key);
  std::map<std::string, InstanceRecord>& own = regions[self_.region];
  own[self_.name] = self_;
  has_followers_ = own.size() > kDirectInstances;
  std::vector<StateSource> near;
  is_reader_ = !has_followers_;
  for (const InstanceRecord& reader : RankedReaders(self_.region, own)) {
    if (reader.name == self_.name) {
      is_reader_ = true;
      continue;
    }
    near.push_back(internal::SourceOf(reader));
  }
  if (!near.empty()) {
    // Followers spread over the readers.
    const size_t first = base::StableHash(self_.name) % near.size();
    std::rotate(near.begin(), near.begin() + first, near.end());
  }
  sources_.assign(1, StateSource{});
  const auto place = is_reader_ ? sources_.end() : sources_.begin();
  sources_.insert(place, near.begin(), near.end());
  for (const auto& [region, members] : regions) {
    if (region == self_.region) {
      continue;
    }
    const std::vector<InstanceRecord> readers = RankedReaders(region, members);
    sources_.push_back(internal::SourceOf(readers.front()));
  }
  for (auto known = avoided_.begin(); known != avoided_.end();) {
    const auto is_known = [&](const StateSource& source) {
      return source.instance == known->first;
    };
    const bool stays = std::any_of(sources_.begin(), sources_.end(), is_known);
    known = stays ? std::next(known) : avoided_.erase(known);
  }
}

StateSource StateSources::Choose(absl::Time now) const {
  const StateSource* best = nullptr;
  absl::Time best_until;
  for (const StateSource& source : sources_) {
    const auto avoided = avoided_.find(source.instance);
    const absl::Time until =
        avoided == avoided_.end() ? absl::InfinitePast() : avoided->second;
    if (until <= now) {
      return source;
    }
    if (best == nullptr || until < best_until) {
      best = &source;
      best_until = until;
    }
  }
  return *best;
}

bool StateSources::HasUntried(absl::Time now) const {
  const auto is_untried = [&](const StateSource& source) {
    const auto avoided = avoided_.find(source.instance);
    return avoided == avoided_.end() || avoided->second <= now;
  };
  return std::any_of(sources_.begin(), sources_.end(), is_untried);
}

void StateSources::OnFailed(const StateSource& source, absl::Time now) {
  avoided_[source.instance] =
      source.is_store() ? absl::InfiniteFuture() : now + kAvoid;
}

}  // namespace baobabwall::gateway
