#pragma once

#include "core/time.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Thread-safe FIFO queue with a fixed capacity. */
template<typename Item>
class BoundedQueue
{
public:
    explicit BoundedQueue(size_t capacity)
        : capacity_(capacity)
    {
    }

    /** Adds @p item without blocking. Returns false if the queue is full. */
    bool tryPush(Item item)
    {
        absl::MutexLock lock(&mutex_);
        if (items_.size() >= capacity_) {
            return false;
        }
        items_.push_back(std::move(item));
        return true;
    }

    /** Adds @p item, blocking while the queue is full. For items that must not be dropped. */
    void push(Item item)
    {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &BoundedQueue::hasSpace));
        items_.push_back(std::move(item));
    }

    /** Removes and returns all items, blocking up to @p timeout if the queue is empty. */
    std::vector<Item> popAll(Microseconds timeout)
    {
        absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(absl::Condition(this, &BoundedQueue::hasItems), absl::Microseconds(timeout.count()));
        std::vector<Item> items(std::make_move_iterator(items_.begin()), std::make_move_iterator(items_.end()));
        items_.clear();
        return items;
    }

private:
    bool hasSpace() const
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
