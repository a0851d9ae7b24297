#pragma once

/** @module peers
    Owns the membership of the deployment, and sends messages between daemons. */

#include "peers/codec/PeerMessage.h"
#include "peers/service/NngPeerService.h"
#include "peers/service/PeerService.h"
#include "peers/transport/NngTransport.h"
