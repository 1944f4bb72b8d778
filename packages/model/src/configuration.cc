#include "model/src/configuration.h"

#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"
#include "model/src/codec.h"

namespace baobabwall::model {
namespace internal {

template <typename Map>
void CheckIsDeclared(const Map& declared,
                     const std::string& name,
                     absl::string_view place,
                     base::Findings* findings) {
  if (declared.find(name) != declared.end()) {
    return;
  }
  std::vector<absl::string_view> names;
  for (const auto& [candidate, value] : declared) {
    names.push_back(candidate);
  }
  const absl::string_view nearest = base::NearestName(name, names);
  findings->Add(place,
                absl::StrCat("refers to ", name, ", which is not declared"),
                nearest.empty() ? "" : absl::StrCat("did you mean ", nearest));
}

bool HasDrain(const Configuration& configuration,
              DrainTarget target,
              absl::string_view name) {
  for (const auto& [drain_name, drain] : configuration.drains()) {
    if (drain.target == target && drain.target_name == name) {
      return true;
    }
  }
  return false;
}

}  // namespace internal

const Resource* Configuration::Find(const ResourceId& id) const {
  const auto found = resources_.find(id);
  return found == resources_.end() ? nullptr : &found->second;
}

absl::string_view Configuration::RegionOf(absl::string_view zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? absl::string_view()
                               : absl::string_view(found->second.region);
}

bool Configuration::IsDraining(const BackendServer& server) const {
  return internal::HasDrain(*this, DrainTarget::kBackendServer, server.name) ||
         internal::HasDrain(*this, DrainTarget::kZone, server.zone) ||
         internal::HasDrain(*this, DrainTarget::kRegion, RegionOf(server.zone));
}

std::shared_ptr<const Configuration> Configuration::Empty() {
  return std::make_shared<Configuration>();
}

std::optional<base::VersionConflict> Configuration::CheckVersions(
    const ChangeBatch& batch) const {
  for (const Change& change : batch.changes) {
    if (!change.based_on) {
      continue;
    }
    const Resource* current = Find(change.id);
    const int64_t version = current == nullptr ? 0 : current->resource_version;
    if (version != *change.based_on) {
      return base::VersionConflict{change.id.ToString(), version};
    }
  }
  return std::nullopt;
}

std::shared_ptr<const Configuration> Configuration::Apply(
    const ChangeBatch& batch,
    int64_t revision,
    base::Findings* findings) const {
  base::Findings own_findings;
  auto result = std::make_shared<Configuration>(*this);
  result->revision_ = revision;
  bool has_client_block_changes = false;
  bool has_deletions = false;
  for (const Change& change : batch.changes) {
    has_client_block_changes =
        has_client_block_changes || change.id.kind == Kind::kClientBlocks;
    if (change.spec) {
      result->SetResource(change.id, *change.spec, revision, &own_findings);
      continue;
    }
    has_deletions = true;
    if (!result->RemoveResource(change.id)) {
      own_findings.Add(change.id.ToString(), "does not exist");
    }
  }
  if (own_findings.empty() && has_deletions) {
    result->CheckAllReferences(&own_findings);
  } else if (own_findings.empty()) {
    for (const Change& change : batch.changes) {
      result->CheckReferences(change.id, &own_findings);
    }
  }
  findings->Append(own_findings);
  if (!own_findings.empty()) {
    return nullptr;
  }
  if (has_client_block_changes) {
    result->ResetClientBlockTable();
  }
  return result;
}

bool Configuration::SetResource(const ResourceId& id,
                                absl::string_view text,
                                int64_t version,
                                base::Findings* findings) {
  const std::optional<Spec> spec = ParseSpec(id, text, findings);
  if (!spec) {
    return false;
  }
  Resource resource;
  resource.id = id;
  resource.resource_version = version;
  if (const auto* blocks = std::get_if<ClientBlocks>(&*spec)) {
    resource.blocks = std::make_shared<ClientBlockChunk>(*blocks);
  } else {
    resource.text = std::string(text);
    IndexSpec(*spec);
  }
  resources_.Set(id, std::move(resource));
  return true;
}

bool Configuration::RemoveResource(const ResourceId& id) {
  RemoveFromIndices(id);
  return resources_.Erase(id);
}

void Configuration::IndexSpec(const Spec& spec) {
  std::visit(
      [this](const auto& value) {
        using T = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<T, Service>) {
          services_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Region>) {
          regions_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Zone>) {
          zones_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, BackendServer>) {
          backend_servers_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Link>) {
          links_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Cap>) {
          caps_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Drain>) {
          drains_.Set(value.name, value);
        } else if constexpr (std::is_same_v<T, Shift>) {
          shifts_.Set(value.name, value);
        }
      },
      spec);
}

void Configuration::RemoveFromIndices(const ResourceId& id) {
  switch (id.kind) {
    case Kind::kService:
      services_.Erase(id.name);
      break;
    case Kind::kRegion:
      regions_.Erase(id.name);
      break;
    case Kind::kZone:
      zones_.Erase(id.name);
      break;
    case Kind::kBackendServer:
      backend_servers_.Erase(id.name);
      break;
    case Kind::kLink:
      links_.Erase(id.name);
      break;
    case Kind::kCap:
      caps_.Erase(id.name);
      break;
    case Kind::kDrain:
      drains_.Erase(id.name);
      break;
    case Kind::kShift:
      shifts_.Erase(id.name);
      break;
    case Kind::kClientBlocks:
      break;
  }
}

/// Compiles the client block table on the first call from any thread.
class Configuration::LazyClientBlockTable {
 public:
  explicit LazyClientBlockTable(
      std::vector<std::shared_ptr<const ClientBlockChunk>> chunks)
      : chunks_(std::move(chunks)) {}

  const ClientBlockTable& table() {
    std::call_once(merge_once_, [this] {
      table_ = ClientBlockTable::Merge(chunks_);
      chunks_.clear();
    });
    return table_;
  }

 private:
  std::once_flag merge_once_;
  std::vector<std::shared_ptr<const ClientBlockChunk>> chunks_;
  ClientBlockTable table_;
};

const ClientBlockTable& Configuration::client_blocks() const {
  static const auto* const kEmptyTable = new ClientBlockTable();
  return client_blocks_ == nullptr ? *kEmptyTable : client_blocks_->table();
}

void Configuration::ResetClientBlockTable() {
  std::vector<std::shared_ptr<const ClientBlockChunk>> chunks;
  for (auto it = resources_.lower_bound(ResourceId{Kind::kClientBlocks, ""});
       it != resources_.end() && it->first.kind == Kind::kClientBlocks; ++it) {
    chunks.push_back(it->second.blocks);
  }
  client_blocks_ = std::make_shared<LazyClientBlockTable>(std::move(chunks));
}

void Configuration::CheckReferences(const ResourceId& id,
                                    base::Findings* findings) const {
  const std::string place = id.ToString() + ".spec";
  const auto check_is_declared = [&](const auto& declared,
                                     const std::string& name,
                                     absl::string_view field) {
    internal::CheckIsDeclared(declared, name, absl::StrCat(place, ".", field),
                              findings);
  };
  if (id.kind == Kind::kZone) {
    check_is_declared(regions_, zones_.at(id.name).region, "region");
  } else if (id.kind == Kind::kBackendServer) {
    const BackendServer& server = backend_servers_.at(id.name);
    check_is_declared(services_, server.service, "service");
    check_is_declared(zones_, server.zone, "zone");
  } else if (id.kind == Kind::kLink) {
    const Link& link = links_.at(id.name);
    check_is_declared(regions_, link.a, "a");
    check_is_declared(regions_, link.b, "b");
  } else if (id.kind == Kind::kCap) {
    check_is_declared(regions_, caps_.at(id.name).region, "region");
  } else if (id.kind == Kind::kShift) {
    const Shift& shift = shifts_.at(id.name);
    check_is_declared(services_, shift.service, "service");
    check_is_declared(regions_, shift.from, "from");
    check_is_declared(regions_, shift.to, "to");
  } else if (id.kind == Kind::kDrain) {
    const Drain& drain = drains_.at(id.name);
    if (drain.target == DrainTarget::kBackendServer) {
      check_is_declared(backend_servers_, drain.target_name, "targetName");
    } else if (drain.target == DrainTarget::kZone) {
      check_is_declared(zones_, drain.target_name, "targetName");
    } else if (drain.target == DrainTarget::kRegion) {
      check_is_declared(regions_, drain.target_name, "targetName");
    }
  }
}

void Configuration::CheckAllReferences(base::Findings* findings) const {
  for (const auto& [id, resource] : resources_) {
    CheckReferences(id, findings);
  }
}

ConfigurationLoader::ConfigurationLoader()
    : configuration_(std::make_shared<Configuration>()) {}

bool ConfigurationLoader::Add(const ResourceId& id,
                              absl::string_view spec,
                              int64_t version,
                              base::Findings* findings) {
  return configuration_->SetResource(id, spec, version, findings);
}

std::shared_ptr<const Configuration> ConfigurationLoader::Build(
    int64_t revision) {
  configuration_->revision_ = revision;
  configuration_->ResetClientBlockTable();
  return std::exchange(configuration_, std::make_shared<Configuration>());
}

}  // namespace baobabwall::model
