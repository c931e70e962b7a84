#pragma once

#include <map>
#include <string>

namespace marjoramferry {

/** Mean task run time by service, measured from task reports because declared run times are far off. */
class RunTimeModel
{
public:
    void addSample(const std::string &service, int runMs);

    /** Mean run time in milliseconds, or zero while there are too few samples. */
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
