#pragma once

#include "decisions/discovery/Discovery.h"
#include "http/message/HttpMessage.h"
#include "peers/service/PeerService.h"

namespace chestnut {

/** The response to `GET /v1/entrypoints` for the account and zone in the headers. Without X-Zone, the caller is taken to
    be in this daemon's zone. */
HttpResponse discoveryResponse(const HttpRequest&, const RequestId&, const PeerService&, const std::string& keyPrefix, const AvailabilityZone& ownZone);

} // namespace chestnut
