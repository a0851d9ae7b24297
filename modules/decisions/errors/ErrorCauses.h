#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <deque>
#include <set>

namespace chestnut {

/** Tells replicas that fail calls from calls that fail everywhere: contents that several replicas have recently answered with
    an error of their own are the cause of it themselves. */
class ErrorCauses {
public:
    /** Records that a replica answered a call with an error. */
    void addError(const Digest& content, const ReplicaId&, TimePoint now);

    /** Records that a replica served the content, so that its errors are those of the replicas. */
    void addSuccess(const Digest& content);

    /** Whether errors of several replicas with this content are known. */
    bool isRequestTheCause(const Digest& content) const;

    bool isEmpty() const { return m_contents.empty(); }

private:
    struct Content {
        Digest content;
        std::set<ReplicaId> replicas;
        TimePoint lastErrorAt;
    };

    std::deque<Content> m_contents; /**< the one with the oldest last error first */
};

} // namespace chestnut
