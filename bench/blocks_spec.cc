#include "blocks_spec.h"

#include <vector>

#include "absl/strings/str_cat.h"

namespace baobabwall::bench {

std::string MakeClientBlocksSpec(
    int first_block,
    int block_count,
    int zone_offset,
    int zone_count,
    const std::function<std::string(int)>& zone_name) {
  std::vector<std::string> block_lists(zone_count);
  for (int block = first_block; block < first_block + block_count; ++block) {
    std::string& block_list =
        block_lists[(block * 7 + zone_offset) % zone_count];
    absl::StrAppend(&block_list, block_list.empty() ? "" : ",", "\"",
                    1 + block / 65536, ".", block / 256 % 256, ".", block % 256,
                    ".0/24\"");
  }
  std::string spec = "{\"blocks\":{";
  const char* separator = "";
  for (int zone = 0; zone < zone_count; ++zone) {
    if (block_lists[zone].empty()) {
      continue;
    }
    absl::StrAppend(&spec, separator, "\"", zone_name(zone), "\":[",
                    block_lists[zone], "]");
    separator = ",";
  }
  return spec + "}}";
}

}  // namespace baobabwall::bench
