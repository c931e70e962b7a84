#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Queues items for one peer, numbers them from 1, and resends them on each new connection until acknowledged. */
template<typename Item>
class RetransmissionQueue
{
public:
    void add(Item item)
    {
        items_.push_back(std::move(item));
    }

    /** Removes the items up to sequence number @p last. */
    void acknowledge(int64_t last)
    {
        while (!items_.empty() && first_ <= last) {
            items_.pop_front();
            ++first_;
        }
        nextUnsent_ = std::max(nextUnsent_, first_);
    }

    /** Marks all unacknowledged items as unsent, for a new connection. */
    void markAllUnsent()
    {
        nextUnsent_ = first_;
    }

    bool hasUnsent() const
    {
        return nextUnsent_ < first_ + static_cast<int64_t>(items_.size());
    }

    bool isEmpty() const
    {
        return items_.empty();
    }

    /** The sequence number of the first item that takeUnsent() would return. */
    int64_t nextSequenceNumber() const
    {
        return nextUnsent_;
    }

    /** The sequence number of the newest item; 0 if there was none. */
    int64_t newestSequenceNumber() const
    {
        return first_ + static_cast<int64_t>(items_.size()) - 1;
    }

    /** Returns the unsent items and marks them as sent. */
    std::vector<Item> takeUnsent()
    {
        const auto from = items_.begin() + (nextUnsent_ - first_);
        std::vector<Item> unsent(from, items_.end());
        nextUnsent_ = first_ + static_cast<int64_t>(items_.size());
        return unsent;
    }

private:
    std::deque<Item> items_;
    int64_t first_ = 1; ///< The sequence number of the oldest unacknowledged item.
    int64_t nextUnsent_ = 1;
};

/** Drops numbered items that were received before. */
class DuplicateFilter
{
public:
    /**
     * Records the receipt of @p count items numbered from @p first. Returns how many of them to skip from the start
     * of the batch: those received before, or all if items before the batch are missing.
     */
    size_t acceptBatch(int64_t first, size_t count)
    {
        const int64_t last = first + static_cast<int64_t>(count) - 1;
        if (first > last_ + 1) {
            return count; // The sender resends from the first unacknowledged item.
        }
        const int64_t duplicates = std::min<int64_t>(static_cast<int64_t>(count), last_ + 1 - first);
        last_ = std::max(last_, last);
        return static_cast<size_t>(duplicates);
    }

    int64_t lastSequenceNumber() const
    {
        return last_;
    }

private:
    int64_t last_ = 0;
};

} // namespace marjoramferry
