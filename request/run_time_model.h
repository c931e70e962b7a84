#pragma once

#include <map>
#include <string>

namespace marjoramferry {

/** What tasks of a service really take, learned from reports; declared times are far off. */
class RunTimeModel
{
public:
    void learn(const std::string &service, int runMs);

    /** Mean run time in milliseconds, or zero while too little is known to act on. */
    double meanMs(const std::string &service) const;

private:
    struct Average
    {
        double meanMs = 0;
        int samples = 0;
    };

    std::map<std::string, Average> averages_;
};

} // namespace marjoramferry
