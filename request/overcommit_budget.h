#pragma once

#include <algorithm>

namespace marjoramferry {

/**
 * Limits the orders that an entry sends to full workers by how many of them came back of late.
 *
 * Addresses the load "many entries with scarce capacity": whether such an order starts within the queue timeout depends
 * mostly on the orders of other entries, which this one doesn't know. Each order takes one unit, which it returns if
 * its run starts, and all dispatches earn ShareOfDispatches. So at most this share of the dispatches comes back, and
 * the orders are unlimited while they start.
 */
class OvercommitBudget
{
public:
    /** Half of the tenth by which dispatches may exceed tasks; the rest is for orders that others overtake. */
    static constexpr double ShareOfDispatches = 0.03;
    /** Bound of the units, so that a burst that follows a calm period has to earn them. */
    static constexpr double MaxUnits = 8;

    bool allowsOrder() const
    {
        return units_ >= 1;
    }

    void recordDispatch(bool isToFullWorker)
    {
        add(ShareOfDispatches - (isToFullWorker ? 1 : 0));
    }

    /** Records that a run ordered from a full worker has started. */
    void recordStart()
    {
        add(1);
    }

    double units() const
    {
        return units_;
    }

private:
    void add(double amount)
    {
        units_ = std::min(MaxUnits, units_ + amount);
    }

    double units_ = MaxUnits;
};

} // namespace marjoramferry
