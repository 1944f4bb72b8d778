#include <catch2/catch.hpp>

#include "model/model.h"

namespace baobabwall::model {
namespace {

ChangeBatch MakeBatch(std::vector<Change> changes) {
  return {"test", std::move(changes)};
}

Change PutChange(Kind kind, const char* name, const char* spec) {
  return {{kind, name}, std::string(spec), std::nullopt};
}

TEST_CASE("Apply adds all resources of a batch with the new revision") {
  base::Findings findings;
  const auto configuration = Configuration::Empty()->Apply(
      MakeBatch({PutChange(Kind::kRegion, "amba", R"({"declaredRate": 100})"),
                 PutChange(Kind::kZone, "amba-a", R"({"region": "amba"})")}),
      1, &findings);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->revision() == 1);
  CHECK(configuration->RegionOf("amba-a") == "amba");
  CHECK(configuration->Find({Kind::kZone, "amba-a"})->resource_version == 1);
}

// Guards against reporting only the first problem in a batch.
TEST_CASE("Apply reports all problems in a batch") {
  base::Findings findings;
  const auto configuration = Configuration::Empty()->Apply(
      MakeBatch({PutChange(Kind::kRegion, "amba", R"({"declardRate": 100})"),
                 PutChange(Kind::kZone, "Amba", R"({"region": ""})")}),
      1, &findings);
  CHECK(configuration == nullptr);
  const std::string findings_text = findings.ToString();
  CHECK(findings_text.find("declaredRate: is missing") != std::string::npos);
  CHECK(findings_text.find("did you mean declaredRate") != std::string::npos);
  CHECK(findings_text.find("name must be") != std::string::npos);
  CHECK(findings_text.find("must be a non-empty string") != std::string::npos);
}

// Guards against a deletion that leaves dangling references.
TEST_CASE("a resource that other resources refer to cannot be deleted") {
  base::Findings findings;
  const auto configuration = Configuration::Empty()->Apply(
      MakeBatch({PutChange(Kind::kRegion, "amba", R"({"declaredRate": 100})"),
                 PutChange(Kind::kZone, "amba-a", R"({"region": "amba"})")}),
      1, &findings);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->Apply(
            MakeBatch({{{Kind::kRegion, "amba"}, std::nullopt, {}}}), 2,
            &findings) == nullptr);
  CHECK(findings.ToString().find("refers to amba, which is not declared") !=
        std::string::npos);
}

// Guards against lost updates when two operators write concurrently.
TEST_CASE("CheckVersions reports a write that expects an older version") {
  base::Findings findings;
  const auto configuration = Configuration::Empty()->Apply(
      MakeBatch({PutChange(Kind::kRegion, "amba", R"({"declaredRate": 100})")}),
      1, &findings);
  Change change = PutChange(Kind::kRegion, "amba", R"({"declaredRate": 50})");
  change.based_on = 0;
  const auto conflict = configuration->CheckVersions(MakeBatch({change}));
  REQUIRE(conflict);
  CHECK(conflict->current_version == 1);
  change.based_on = 1;
  CHECK_FALSE(configuration->CheckVersions(MakeBatch({change})));
}

TEST_CASE("a batch is unchanged after encoding and decoding") {
  ChangeBatch batch =
      MakeBatch({PutChange(Kind::kRegion, "amba", R"({"declaredRate":100})"),
                 {{Kind::kZone, "amba-a"}, std::nullopt, 7}});
  base::Findings findings;
  const auto decoded = DecodeBatch(EncodeBatch(batch), &findings);
  REQUIRE(decoded);
  CHECK(EncodeBatch(*decoded) == EncodeBatch(batch));
  CHECK(decoded->changes[1].based_on == 7);
}

}  // namespace
}  // namespace baobabwall::model
