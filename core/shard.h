#pragma once

#include <cstdint>
#include <string_view>

namespace marjoramferry {

/** How many shards the space of job ids has. It is part of the stored format. */
constexpr int ShardCount = 64;

/** The shard of a job id; the same in every process. */
int shardOf(std::string_view jobId);

/** A hash of a canonical job body; the same in every process. */
int64_t fingerprintOf(std::string_view body);

} // namespace marjoramferry
