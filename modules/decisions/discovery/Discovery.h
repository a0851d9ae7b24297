#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/membership/Member.h"

#include <span>
#include <string>
#include <vector>

namespace chestnut {

constexpr size_t entryPointCount = 3;
/** Callers may cache a discovery response for this long; a leaving daemon serves requests at least until it has expired. */
constexpr Duration discoveryValidity = std::chrono::seconds(10);
/** Validity of a response with fewer addresses than entryPointCount. A daemon that has just started has few members in its
    table; callers must not use its short list for 10 s. */
constexpr Duration shortDiscoveryValidity = std::chrono::seconds(1);

struct EntryPoint {
    std::string address;
    AvailabilityZone zone;

    auto operator<=>(const EntryPoint&) const = default;
};

/** Entry points for an account: few and stable, the caller's zone first, without leaving and suspected members, replaced
    when a member is full. The region follows from the zone's members. */
std::vector<EntryPoint> entryPoints(const AccountId&, const AvailabilityZone& callerZone, std::span<const MemberRecord>);

/** How long callers may cache a response with these entry points. */
Duration validityOf(std::span<const EntryPoint>);

} // namespace chestnut
