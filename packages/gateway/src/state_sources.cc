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

/// \returns the instances of a region that read the store, best first.
std::vector<StateSource> ReadersOf(const std::string& region,
                                   const RecordsByName& members) {
  std::vector<std::string> names;
  for (const auto& [name, record] : members) {
    names.push_back(name);
  }
  control::SortByReaderRank(region, &names);
  // The best of each zone come first: a zone may fail as a whole.
  std::map<std::string, size_t> in_zone;
  std::vector<std::pair<size_t, StateSource>> ranked;
  for (const std::string& name : names) {
    const InstanceRecord& record = members.at(name);
    ranked.emplace_back(in_zone[record.zone]++, SourceOf(record));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const size_t count = StateSources::kLeastReaders +
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
  internal::RecordsByName& own = regions[self_.region];
  own[self_.name] = self_;
  std::vector<StateSource> near = internal::ReadersOf(self_.region, own);
  const auto self =
      std::find_if(near.begin(), near.end(), [this](const StateSource& reader) {
        return reader.instance == self_.name;
      });
  has_followers_ = own.size() > kDirectInstances;
  is_reader_ = !has_followers_ || self != near.end();
  if (self != near.end()) {
    near.erase(self);
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
    if (region != self_.region) {
      sources_.push_back(internal::ReadersOf(region, members).front());
    }
  }
  ForgetOthers();
}

void StateSources::ForgetOthers() {
  std::set<std::string> known;
  for (const StateSource& source : sources_) {
    known.insert(source.instance);
  }
  for (auto avoided = avoided_.begin(); avoided != avoided_.end();) {
    const bool stays = known.count(avoided->first) > 0;
    avoided = stays ? std::next(avoided) : avoided_.erase(avoided);
  }
}

absl::Time StateSources::AvoidedUntil(const StateSource& source) const {
  const auto avoided = avoided_.find(source.instance);
  return avoided == avoided_.end() ? absl::InfinitePast() : avoided->second;
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

bool StateSources::HasUntried(absl::Time now) const {
  return AvoidedUntil(Choose(now)) <= now;
}

void StateSources::OnFailed(const StateSource& source, absl::Time now) {
  avoided_[source.instance] =
      source.is_store() ? absl::InfiniteFuture() : now + kAvoid;
}

}  // namespace baobabwall::gateway
