#include <catch2/catch.hpp>

#include "settings/settings.h"

namespace baobabwall::settings {
namespace {

constexpr char kValidSettings[] =
    "[instance]\nname = amba-a-1\nzone = amba-a\nregion = amba\n"
    "address = 127.0.0.1\n[callers]\nport = 7001\n[operators]\nport = 7002\n"
    "token = secret\n[peers]\nport = 7003\ntoken = other\n"
    "[store]\nkind = embedded\n[charts]\ndirectory = charts\n";

TEST_CASE("ParseProcessSettings accepts valid settings") {
  base::Findings findings;
  const auto settings =
      ParseProcessSettings("a.ini", kValidSettings, &findings);
  CAPTURE(findings.ToString());
  REQUIRE(settings);
  CHECK(settings->instance_name == "amba-a-1");
  CHECK(settings->caller_port == 7001);
}

// Guards against reporting only the first problem in the settings.
TEST_CASE("every finding has a location and a suggested correction") {
  base::Findings findings;
  const auto settings = ParseProcessSettings(
      "b.ini",
      "[instance]\nnmae = x\nzone = amba-a\nthis is nonsense\n"
      "region = amba\naddress = localhost\nmore nonsense\n"
      "[callers]\nport = 99999\n[operators]\nport = 7002\ntoken = s\n"
      "[peers]\nport = 7002\ntoken = t\n[store]\nkind = http\n"
      "[charts]\ndirectory = charts\n",
      &findings);
  CHECK_FALSE(settings);
  const std::string findings_text = findings.ToString();
  CAPTURE(findings_text);
  CHECK(findings_text.find(
            "b.ini:2: [instance] nmae: is not a known setting (did you "
            "mean instance.name)") != std::string::npos);
  CHECK(findings_text.find("b.ini:4: is neither") != std::string::npos);
  CHECK(findings_text.find("b.ini:6: [instance] address") != std::string::npos);
  CHECK(findings_text.find("b.ini:7: is neither") != std::string::npos);
  CHECK(findings_text.find("expected a whole number from 1 to 65535") !=
        std::string::npos);
  CHECK(findings_text.find("port 7002 is used more than once") !=
        std::string::npos);
  CHECK(findings_text.find("[store] address and port are missing") !=
        std::string::npos);
  CHECK(findings_text.find("instance.name: is missing") != std::string::npos);
}

}  // namespace
}  // namespace baobabwall::settings
