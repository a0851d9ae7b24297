#pragma once

#include "decisions/discovery/Discovery.h"
#include "http/message/HttpMessage.h"
#include "peers/service/PeerService.h"

namespace chestnut {

/** Answers `GET /v1/entrypoints` for the account and zone in the headers. A caller without X-Zone counts as being in
    this daemon's zone. */
HttpResponse discoveryAnswer(const HttpRequest&, const RequestId&, const PeerService&, const std::string& keyPrefix, const AvailabilityZone& ownZone);

} // namespace chestnut
