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
        stopping_ = true;
    }
    thread_.join();
}

void TimerQueue::after(Milliseconds delay, std::function<void()> action)
{
    absl::MutexLock lock(&mutex_);
    actions_.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
    changed_ = true;
}

bool TimerQueue::hasNews() const
{
    return changed_ || stopping_;
}

void TimerQueue::run()
{
    while (true) {
        std::function<void()> action;
        {
            absl::MutexLock lock(&mutex_);
            const auto now = std::chrono::steady_clock::now();
            if (stopping_) {
                return;
            }
            if (actions_.empty() || actions_.begin()->first > now) {
                const auto wait = actions_.empty() ? std::chrono::seconds(1) : actions_.begin()->first - now;
                changed_ = false;
                mutex_.AwaitWithTimeout(absl::Condition(this, &TimerQueue::hasNews), absl::FromChrono(wait));
                continue;
            }
            action = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
        }
        action();
    }
}

} // namespace marjoramferry
