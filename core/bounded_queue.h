#pragma once

#include "core/time.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace marjoramferry {

/** A queue between two duties that holds at most a fixed number of items. */
template<typename Item>
class BoundedQueue
{
public:
    explicit BoundedQueue(size_t capacity)
        : capacity_(capacity)
    {
    }

    /** Adds @p item, or returns false if the ring is full. Never waits. */
    bool tryPush(Item item)
    {
        absl::MutexLock lock(&mutex_);
        if (items_.size() >= capacity_) {
            return false;
        }
        items_.push_back(std::move(item));
        return true;
    }

    /** Adds @p item, waiting for room: for what may not be lost, from a thread that may wait. */
    void push(Item item)
    {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &BoundedQueue::hasRoom));
        items_.push_back(std::move(item));
    }

    /** Takes all items, waiting up to @p timeout for the first. */
    std::vector<Item> popAll(Microseconds timeout)
    {
        absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(absl::Condition(this, &BoundedQueue::hasItems), absl::Microseconds(timeout.count()));
        std::vector<Item> taken(std::make_move_iterator(items_.begin()), std::make_move_iterator(items_.end()));
        items_.clear();
        return taken;
    }

private:
    bool hasRoom() const
    {
        return items_.size() < capacity_;
    }

    bool hasItems() const
    {
        return !items_.empty();
    }

    const size_t capacity_;
    absl::Mutex mutex_;
    std::deque<Item> items_;
};

} // namespace marjoramferry
