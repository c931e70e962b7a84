#pragma once

#include "core/time.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <thread>

namespace marjoramferry {

/** Runs actions after given delays, on a thread of its own. Actions still pending at destruction are dropped. */
class TimerQueue
{
public:
    TimerQueue();
    ~TimerQueue();

    /** Runs @p action on the thread of the queue once @p delay has passed. */
    void after(Milliseconds delay, std::function<void()> action);

private:
    void run();
    bool mustWakeUp() const;

    absl::Mutex mutex_;
    std::multimap<MonotonicTime, std::function<void()>> actions_ ABSL_GUARDED_BY(mutex_); ///< By due time.
    bool hasNewActions_ ABSL_GUARDED_BY(mutex_) = false;
    bool isStopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace marjoramferry
