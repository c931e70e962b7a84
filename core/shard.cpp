#include "core/shard.h"

#include <xxhash.h>

namespace marjoramferry {

int shardOf(std::string_view jobId)
{
    return static_cast<int>(XXH3_64bits(jobId.data(), jobId.size()) % ShardCount);
}

int64_t fingerprintOf(std::string_view body)
{
    return static_cast<int64_t>(XXH3_64bits(body.data(), body.size()));
}

} // namespace marjoramferry
