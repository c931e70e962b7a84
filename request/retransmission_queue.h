#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Items for one peer, numbered from 1 and repeated on each new connection until acknowledged. */
template<typename Item>
class RetransmissionQueue
{
public:
    void add(Item item)
    {
        items_.push_back(std::move(item));
    }

    /** Forgets the items up to number @p last. */
    void acknowledge(int64_t last)
    {
        while (!items_.empty() && first_ <= last) {
            items_.pop_front();
            ++first_;
        }
        nextUnsent_ = std::max(nextUnsent_, first_);
    }

    /** Lets everything that is not acknowledged go out again. */
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

    /** The number of the first item that takeUnsent() would give. */
    int64_t nextSequenceNumber() const
    {
        return nextUnsent_;
    }

    /** The number of the newest item; 0 if there was none. */
    int64_t newestSequenceNumber() const
    {
        return first_ + static_cast<int64_t>(items_.size()) - 1;
    }

    std::vector<Item> takeUnsent()
    {
        const auto from = items_.begin() + (nextUnsent_ - first_);
        std::vector<Item> unsent(from, items_.end());
        nextUnsent_ = first_ + static_cast<int64_t>(items_.size());
        return unsent;
    }

private:
    std::deque<Item> items_;
    int64_t first_ = 1; ///< The number of the first item kept.
    int64_t nextUnsent_ = 1;
};

/** Passes each numbered item once, though it may come again. */
class DuplicateFilter
{
public:
    /** How many items of a batch that begins with number @p first came before. Takes note of the rest. */
    size_t acceptBatch(int64_t first, size_t count)
    {
        const int64_t last = first + static_cast<int64_t>(count) - 1;
        if (first > last_ + 1) {
            return count; // A gap: the sender repeats from what is acknowledged.
        }
        const int64_t known = std::min<int64_t>(static_cast<int64_t>(count), last_ + 1 - first);
        last_ = std::max(last_, last);
        return static_cast<size_t>(known);
    }

    int64_t lastSequenceNumber() const
    {
        return last_;
    }

private:
    int64_t last_ = 0;
};

} // namespace marjoramferry
