#include "standins/timer_queue.h"

#include <utility>

namespace marjoramferry {

TimerQueue::TimerQueue()
    : thread_([this] { run(); })
{
}

TimerQueue::~TimerQueue()
{
    {
        absl::MutexLock lock(&mutex_);
        isStopping_ = true;
    }
    thread_.join();
}

void TimerQueue::after(Milliseconds delay, std::function<void()> action)
{
    absl::MutexLock lock(&mutex_);
    actions_.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
    hasNewActions_ = true;
}

bool TimerQueue::mustWakeUp() const
{
    return hasNewActions_ || isStopping_;
}

void TimerQueue::run()
{
    while (true) {
        std::function<void()> action;
        {
            absl::MutexLock lock(&mutex_);
            const auto now = std::chrono::steady_clock::now();
            if (isStopping_) {
                return;
            }
            if (actions_.empty() || actions_.begin()->first > now) {
                const auto timeout = actions_.empty() ? std::chrono::seconds(1) : actions_.begin()->first - now;
                hasNewActions_ = false;
                mutex_.AwaitWithTimeout(absl::Condition(this, &TimerQueue::mustWakeUp), absl::FromChrono(timeout));
                continue;
            }
            action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
        }
        action();
    }
}

} // namespace marjoramferry
