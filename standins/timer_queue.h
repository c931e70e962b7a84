#pragma once

#include "core/time.h"
#include "request/entry_command.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <thread>

namespace marjoramferry {

/** Runs actions at given times, on one thread. */
class TimerQueue
{
public:
    TimerQueue();
    ~TimerQueue();

    void after(Milliseconds delay, std::function<void()> action);

private:
    void run();
    bool hasNews() const;

    absl::Mutex mutex_;
    std::multimap<MonotonicTime, std::function<void()>> actions_ ABSL_GUARDED_BY(mutex_);
    bool changed_ ABSL_GUARDED_BY(mutex_) = false;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace marjoramferry
