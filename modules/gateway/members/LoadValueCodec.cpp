#include "gateway/members/LoadValueCodec.h"

#include <cmath>

namespace chestnut {

using nlohmann::json;

double decodeSum(const json& item)
{
    auto value = item.get<double>();
    if (!std::isfinite(value) || value < 0)
        throw json::out_of_range::create(406, "sample sum out of range", &item);
    return value;
}

Duration decodeAge(const json& item)
{
    Duration age(item.get<int64_t>());
    if (age < Duration::zero() || age > maximumReportAge)
        throw json::out_of_range::create(406, "age of a report out of range", &item);
    return age;
}

void checkSize(const json& list, size_t maximum)
{
    if (list.size() > maximum)
        throw json::out_of_range::create(406, "too many reports", &list);
}

} // namespace chestnut
