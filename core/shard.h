#pragma once

#include <cstdint>
#include <string_view>

namespace marjoramferry {

/** Number of shards that job ids are hashed into. It is part of the stored format and must not change. */
constexpr int ShardCount = 64;

/** Returns the shard of a job id. The result is the same in every process. */
int shardOf(std::string_view jobId);

/** Returns a hash of a canonical job body. The result is the same in every process. */
int64_t fingerprintOf(std::string_view body);

} // namespace marjoramferry
