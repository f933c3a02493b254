#include "baobabrack/workload/workspace_registry.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/job_access.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;

namespace {

workspace_config workspace(const std::string& name, const std::vector<std::string>& keys) {
    return {.id = workspace_id{name}, .keys = keys};
}

workload_config version(std::uint64_t number, std::vector<workspace_config> workspaces) {
    return {.version = config_version{number}, .workspaces = std::move(workspaces)};
}

workspace_identity holder(const workspace_registry& registry, const std::string& name,
                          std::uint64_t number) {
    const auto* found = registry.find(workspace_id{name}, config_version{number});
    return found == nullptr ? workspace_identity{} : found->identity;
}

/// A registry in which workspace `a` with key `k1` was seen under version 7.
workspace_registry registry_of_a() {
    workspace_registry registry;
    registry.update(version(7, {workspace("a", {"k1"}), workspace("b", {"k9"})}));
    return registry;
}

}  // namespace

TEST_CASE("A workspace keeps its identity through changes of its name and its keys",
          "[workspaces]") {
    auto registry = registry_of_a();
    const auto original = holder(registry, "a", 7);
    REQUIRE(original != workspace_identity{});
    SECTION("a new name") {
        const auto changes =
            registry.update(version(9, {workspace("new", {"k1"}), workspace("b", {"k9"})}));
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().former_name == workspace_id{"a"});
        CHECK(holder(registry, "new", 9) == original);
        CHECK(holder(registry, "a", 7) == original);
    }
    SECTION("new keys") {
        registry.update(version(9, {workspace("a", {"k2"}), workspace("b", {"k9"})}));
        CHECK(holder(registry, "a", 9) == original);
    }
    SECTION("an added key, another name, and then the first key removed") {
        registry.update(version(9, {workspace("a", {"k1", "k2"})}));
        registry.update(version(10, {workspace("new", {"k2"})}));
        registry.update(version(12, {workspace("newer", {"k2", "k3"})}));
        CHECK(holder(registry, "newer", 12) == original);
    }
    SECTION("removed, and back with its key") {
        registry.update(version(9, {}));
        registry.update(version(10, {workspace("back", {"k1"})}));
        CHECK(holder(registry, "back", 10) == original);
    }
    SECTION("two workspaces exchange their names") {
        const auto other = holder(registry, "b", 7);
        registry.update(version(9, {workspace("a", {"k9"}), workspace("b", {"k1"})}));
        CHECK(holder(registry, "b", 9) == original);
        CHECK(holder(registry, "a", 9) == other);
    }
}

// The new holder of a name was answered 200 for the jobs of the former one.
TEST_CASE("A name that is free again gives its next holder nothing of the former one",
          "[workspaces]") {
    auto registry = registry_of_a();
    const auto original = holder(registry, "a", 7);
    SECTION("taken in the version of the rename") {
        registry.update(version(9, {workspace("a", {"k5"}), workspace("new", {"k1"})}));
        CHECK(holder(registry, "new", 9) == original);
    }
    SECTION("taken later") {
        registry.update(version(8, {workspace("new", {"k1"})}));
        registry.update(version(9, {workspace("a", {"k5"}), workspace("new", {"k1"})}));
    }
    SECTION("taken after the workspace was removed") {
        registry.update(version(8, {}));
        registry.update(version(9, {workspace("a", {"k5"})}));
    }
    CHECK(holder(registry, "a", 9) != workspace_identity{});
    CHECK(holder(registry, "a", 9) != original);
    CHECK(holder(registry, "a", 7) == original);
}

TEST_CASE("Versions that were not seen are taken for the nearest that were", "[workspaces]") {
    auto registry = registry_of_a();
    registry.update(version(20, {workspace("a", {"k5"}), workspace("new", {"k1"})}));
    CHECK(holder(registry, "a", 3) == holder(registry, "a", 7));
    CHECK(holder(registry, "a", 15) == holder(registry, "a", 7));
    CHECK(holder(registry, "new", 15) == holder(registry, "new", 20));
}

TEST_CASE("An older version changes nothing", "[workspaces]") {
    auto registry = registry_of_a();
    CHECK(registry.update(version(6, {})).empty());
    CHECK(registry.update(version(7, {})).empty());
    CHECK(holder(registry, "a", 7) != workspace_identity{});
}

// All schedulers may end at once, and then the record is all that is left.
TEST_CASE("The stored record tells all that the registry knows", "[workspaces]") {
    auto registry = registry_of_a();
    registry.update(version(9, {workspace("a", {"k5"}), workspace("new", {"k1", "k2"})}));
    workspace_registry restored;
    REQUIRE(restored.load(registry.save()));
    CHECK(restored.version() == registry.version());
    CHECK(restored.save() == registry.save());
    CHECK(restored.update(version(10, {workspace("newest", {"k2"})})).size() == 2);
    CHECK(holder(restored, "newest", 10) == holder(registry, "a", 7));
    CHECK_FALSE(restored.load("\xff\xff"));
}

TEST_CASE("The registry stays within the size of a record", "[workspaces]") {
    constexpr std::size_t record_bytes = 262'144;
    workspace_registry registry;
    for (std::uint64_t number = 1; number < 400; ++number) {
        std::vector<workspace_config> workspaces;
        for (int index = 0; index < 190; ++index) {
            const auto text = std::to_string(index);
            workspaces.push_back(
                workspace("a-workspace-with-a-long-name-" + text + "-" + std::to_string(number),
                          {"key-" + text, "key-of-" + std::to_string(number) + "-" + text}));
        }
        workspaces.push_back(
            workspace("once-" + std::to_string(number), {"once-" + std::to_string(number)}));
        registry.update(version(number, workspaces));
    }
    CHECK(registry.save().size() < record_bytes);
}

TEST_CASE("A job belongs to its workspace under every name, and to no other", "[workspaces]") {
    auto registry = registry_of_a();
    const bool has_identity = GENERATE(true, false);
    const job_spec job{.id = job_id{"j"},
                       .workspace = workspace_id{"a"},
                       .owner = has_identity ? holder(registry, "a", 7) : workspace_identity{},
                       .config = config_version{7}};
    registry.update(version(9, {workspace("a", {"k5"}), workspace("new", {"k1"})}));
    const auto access = [&](const std::string& name, std::uint64_t number) {
        return check_access(
            job, {.workspace = workspace_id{name}, .queue = {}, .config = config_version{number}},
            registry);
    };
    CHECK(access("new", 9) == job_access::granted);
    CHECK(access("a", 9) == job_access::denied);
    CHECK(access("a", 7) == job_access::granted);
    CHECK(access("b", 6) == job_access::undetermined);
    CHECK(access("", 9) == job_access::denied);
}
