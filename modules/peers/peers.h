#pragma once

/** @module peers
    Owns the membership protocol of the deployment and the messages between its daemons. */

#include "peers/codec/PeerMessage.h"
#include "peers/service/NngPeerService.h"
#include "peers/service/PeerService.h"
#include "peers/transport/NngTransport.h"
#include "peers/transport/SocketCloser.h"
