#ifndef BAOBABRACK_WORKLOAD_WORKSPACE_REGISTRY_HPP
#define BAOBABRACK_WORKLOAD_WORKSPACE_REGISTRY_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/workload/workload_config.hpp"

namespace baobabrack::workload {

/// A workspace over several versions of the configuration.
struct known_workspace {
    /// A name, and the versions under which the workspace had it.
    struct name_period {
        workspace_id name;
        config_version since;
        /// The first version under which it did not; empty if it still has the name.
        std::optional<config_version> until;
    };

    workspace_identity identity;
    /// In the order of the versions.
    std::vector<name_period> names;
    /// Digests of the latest keys.
    std::set<std::uint64_t> key_digests;

    /// @return whether the latest version contains the workspace
    bool present() const { return !names.empty() && !names.back().until; }
};

/// Tells which workspaces of different versions of the configuration are the same.
///
/// A workspace of the next version is the one that had one of its keys, else the one that had its
/// name. A name that is free again gives its next holder nothing of the former one.
class workspace_registry {
public:
    /// A workspace that a version has added, removed or renamed.
    struct change {
        workspace_identity identity;
        /// Empty if the workspace was added.
        workspace_id former_name;
        /// Empty if the workspace was removed.
        workspace_id name;
    };

    /// Applies a version of the configuration, unless it is older than the latest one.
    std::vector<change> update(const workload_config& config);

    /// @return the workspace that had a name under a version of the configuration, or null. If that
    ///         version was not seen, the holder at the nearest earlier one counts, else the first.
    const known_workspace* find(const workspace_id& name, config_version version) const;

    /// @return the workspace with the identity, or null
    const known_workspace* find(workspace_identity identity) const;

    /// @return the name of a workspace under the latest version; empty if that does not contain it
    static workspace_id current_name(const known_workspace& workspace);

    /// @return the latest version
    config_version version() const { return version_; }

    /// Increases with each change of a workspace, its keys or names.
    std::uint64_t revision() const { return revision_; }

    /// Replaces the content by a stored one.
    ///
    /// @return whether the record could be read
    bool load(std::string_view record);

    /// @return the content as a record for the store
    std::string save() const;

private:
    known_workspace& add(const workspace_config& workspace);
    void forget_oldest();

    config_version version_;
    std::uint64_t revision_ = 0;
    std::vector<known_workspace> workspaces_;
};

}  // namespace baobabrack::workload

#endif
