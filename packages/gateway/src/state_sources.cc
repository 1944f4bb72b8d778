#include "gateway/src/state_sources.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/base.h"
#include "control/control.h"

namespace baobabwall::gateway {
namespace internal {

using RecordsByName = std::map<std::string, InstanceRecord>;

/// \returns the newest record of each instance, by region and name.
std::map<std::string, RecordsByName> NewestByRegion(
    const std::map<std::string, InstanceRecord>& by_key) {
  RecordsByName newest;
  for (const auto& [key, record] : by_key) {
    InstanceRecord& newest_record = newest[record.name];
    if (newest_record.name.empty() ||
        newest_record.incarnation < record.incarnation) {
      newest_record = record;
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

/// \returns the instances of a region that read the store, in the order of
/// preference.
std::vector<StateSource> ReadersOfRegion(const std::string& region,
                                         const RecordsByName& members) {
  std::vector<std::string> names;
  for (const auto& [name, record] : members) {
    names.push_back(name);
  }
  control::SortByReaderRank(region, &names);
  // The instances with the largest CPU share come first, because a reader
  // serves many followers.
  std::stable_sort(names.begin(), names.end(),
                   [&members](const std::string& a, const std::string& b) {
                     return members.at(a).cpu_share > members.at(b).cpu_share;
                   });
  // The best instance of each zone comes first, because a zone may fail as a
  // whole.
  std::map<std::string, size_t> in_zone;
  std::vector<std::pair<size_t, StateSource>> ranked;
  for (const std::string& name : names) {
    const InstanceRecord& record = members.at(name);
    ranked.emplace_back(in_zone[record.zone]++, SourceOf(record));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const size_t count = StateSources::kMinReaders +
                       names.size() / StateSources::kInstancesPerReader;
  ranked.resize(std::min(ranked.size(), count));
  std::vector<StateSource> readers;
  for (auto& [place, reader] : ranked) {
    readers.push_back(std::move(reader));
  }
  return readers;
}

}  // namespace internal

StateSources::StateSources(InstanceRecord self)
    : self_(std::move(self)), sources_{StateSource{}} {}

void StateSources::SetInstances(
    const std::map<std::string, InstanceRecord>& by_key) {
  auto regions = internal::NewestByRegion(by_key);
  internal::RecordsByName& own_region_records = regions[self_.region];
  own_region_records[self_.name] = self_;
  std::vector<StateSource> own_region_readers =
      internal::ReadersOfRegion(self_.region, own_region_records);
  const auto self =
      std::find_if(own_region_readers.begin(), own_region_readers.end(),
                   [this](const StateSource& reader) {
                     return reader.instance == self_.name;
                   });
  has_followers_ = own_region_records.size() > kMaxDirectInstances;
  is_reader_ = !has_followers_ || self != own_region_readers.end();
  if (self != own_region_readers.end()) {
    own_region_readers.erase(self);
  }
  if (!own_region_readers.empty()) {
    // Distributes the followers over the readers.
    const size_t first =
        base::StableHash(self_.name) % own_region_readers.size();
    std::rotate(own_region_readers.begin(), own_region_readers.begin() + first,
                own_region_readers.end());
  }
  sources_.assign(1, StateSource{});
  const auto place = is_reader_ ? sources_.end() : sources_.begin();
  sources_.insert(place, own_region_readers.begin(), own_region_readers.end());
  for (const auto& [region, members] : regions) {
    if (region != self_.region) {
      sources_.push_back(internal::ReadersOfRegion(region, members).front());
    }
  }
  RemoveStaleAvoidTimes();
}

void StateSources::RemoveStaleAvoidTimes() {
  std::set<std::string> known_sources;
  for (const StateSource& source : sources_) {
    known_sources.insert(source.instance);
  }
  for (auto avoided = avoided_until_.begin();
       avoided != avoided_until_.end();) {
    const bool is_kept = known_sources.count(avoided->first) > 0;
    avoided = is_kept ? std::next(avoided) : avoided_until_.erase(avoided);
  }
}

absl::Time StateSources::AvoidedUntil(const StateSource& source) const {
  const auto avoided = avoided_until_.find(source.instance);
  return avoided == avoided_until_.end() ? absl::InfinitePast()
                                         : avoided->second;
}

StateSource StateSources::Choose(absl::Time now) const {
  const StateSource* best = &sources_.front();
  for (const StateSource& source : sources_) {
    if (AvoidedUntil(source) <= now) {
      return source;
    }
    if (AvoidedUntil(source) < AvoidedUntil(*best)) {
      best = &source;
    }
  }
  return *best;
}

bool StateSources::HasUsableSource(absl::Time now) const {
  return AvoidedUntil(Choose(now)) <= now;
}

void StateSources::OnFailed(const StateSource& source, absl::Time now) {
  avoided_until_[source.instance] =
      source.is_store() ? absl::InfiniteFuture() : now + kFailureAvoidTime;
}

}  // namespace baobabwall::gateway
