#ifndef MODEL_SRC_CONFIGURATION_H_
#define MODEL_SRC_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "model/src/change.h"
#include "model/src/client_block_table.h"
#include "model/src/resource.h"
#include "model/src/shared_map.h"
#include "model/src/spec.h"

namespace baobabwall::model {

/// \brief Immutable set of the resources that exist at a revision.
class Configuration {
 public:
  template <typename T>
  using ByName = SharedMap<std::string, T>;

  int64_t revision() const { return revision_; }

  const SharedMap<ResourceId, Resource>& resources() const {
    return resources_;
  }
  /// \returns nullptr if the resource does not exist.
  const Resource* Find(const ResourceId& id) const;

  const ByName<Service>& services() const { return services_; }
  const ByName<Region>& regions() const { return regions_; }
  const ByName<Zone>& zones() const { return zones_; }
  const ByName<BackendServer>& backend_servers() const {
    return backend_servers_;
  }
  const ByName<Link>& links() const { return links_; }
  const ByName<Cap>& caps() const { return caps_; }
  const ByName<Drain>& drains() const { return drains_; }
  const ByName<Shift>& shifts() const { return shifts_; }

  /// \returns the table of all client blocks. May be called from any thread.
  ///
  /// The first call compiles the table, which takes about 50 ms for 1.1 million
  /// blocks. A revision that is only validated, or that is superseded before
  /// any lookup, never needs the table.
  const ClientBlockTable& client_blocks() const;

  /// \returns the region of a zone, or an empty view if the zone is not
  /// declared.
  absl::string_view RegionOf(absl::string_view zone) const;

  /// \returns true if a drain targets the backend server, its zone or its
  /// region.
  bool IsDraining(const BackendServer& server) const;

  /// \brief Creates the configuration that results from applying a batch.
  ///
  /// The result shares all unchanged data with this configuration. Only changed
  /// specs are parsed and validated. A batch with deletions also checks the
  /// references of all other resources.
  ///
  /// Apply() does not check the expected versions of the changes, because a log
  /// entry has already been accepted. \sa CheckVersions
  /// \param batch the accepted changes.
  /// \param revision revision of the result; must be greater than revision().
  /// \param findings receives every problem, including references to undeclared
  /// resources.
  /// \returns nullptr if any problem was found.
  std::shared_ptr<const Configuration> Apply(const ChangeBatch& batch,
                                             int64_t revision,
                                             base::Findings* findings) const;

  /// \brief Finds the first change whose expected version differs from the
  /// current version of the resource.
  /// \returns nullopt if no change conflicts.
  std::optional<base::VersionConflict> CheckVersions(
      const ChangeBatch& batch) const;

  /// \returns a configuration with revision 0 and no resources.
  static std::shared_ptr<const Configuration> Empty();

 private:
  friend class ConfigurationLoader;
  class LazyClientBlockTable;

  /// Parses a spec, stores the resource and adds the spec to the map of its
  /// kind. \returns false if the spec is invalid.
  bool SetResource(const ResourceId& id,
                   absl::string_view text,
                   int64_t version,
                   base::Findings* findings);
  bool RemoveResource(const ResourceId& id);
  void IndexSpec(const Spec& spec);
  void RemoveFromIndices(const ResourceId& id);
  void CheckReferences(const ResourceId& id, base::Findings* findings) const;
  void CheckAllReferences(base::Findings* findings) const;
  void ResetClientBlockTable();

  int64_t revision_ = 0;
  SharedMap<ResourceId, Resource> resources_;
  ByName<Service> services_;
  ByName<Region> regions_;
  ByName<Zone> zones_;
  ByName<BackendServer> backend_servers_;
  ByName<Link> links_;
  ByName<Cap> caps_;
  ByName<Drain> drains_;
  ByName<Shift> shifts_;
  std::shared_ptr<LazyClientBlockTable> client_blocks_;
};

/// \brief Builds a configuration from resources that were accepted before, such
/// as the resources in a snapshot. References are not checked.
class ConfigurationLoader {
 public:
  ConfigurationLoader();

  /// \returns false if the spec is invalid; `findings` receives the problems.
  bool Add(const ResourceId& id,
           absl::string_view spec,
           int64_t version,
           base::Findings* findings);

  /// \brief Returns the configuration and resets the loader.
  /// \param revision revision of the snapshot.
  std::shared_ptr<const Configuration> Build(int64_t revision);

 private:
  std::shared_ptr<Configuration> configuration_;
};

}  // namespace baobabwall::model

#endif  // MODEL_SRC_CONFIGURATION_H_
