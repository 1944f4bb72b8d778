#ifndef BENCH_BLOCKS_SPEC_H_
#define BENCH_BLOCKS_SPEC_H_

#include <functional>
#include <string>

namespace baobabwall::bench {

/// \brief Makes the spec of a chunk of IPv4 /24 blocks. Adjacent blocks have
/// different home zones.
/// \param first_block number of the first block.
/// \param block_count number of blocks.
/// \param zone_offset offset that is added to the home zone of each block.
/// \param zone_count number of zones.
/// \param zone_name returns the name of the zone with the given number.
/// \returns the JSON text of a ClientBlocks spec.
std::string MakeClientBlocksSpec(
    int first_block,
    int block_count,
    int zone_offset,
    int zone_count,
    const std::function<std::string(int)>& zone_name);

}  // namespace baobabwall::bench

#endif  // BENCH_BLOCKS_SPEC_H_
