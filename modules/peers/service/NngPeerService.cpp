#include "peers/service/NngPeerService.h"

#include "peers/transport/NngTransport.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <set>
#include <stdexcept>

namespace chestnut {

namespace {

    using nlohmann::json;

    constexpr auto heartbeatType = "heartbeat";
    constexpr auto errorType = "error";
    constexpr Duration heartbeatTimeout = std::chrono::seconds(1);
    /** Every so many heartbeats one address that belongs to no member is contacted: a seed, or a removed member, so that
        the two sides of a healed partition find each other. */
    constexpr uint64_t bootstrapRounds = 5;
    constexpr size_t maximumExtensionBytes = 1024;
    /** Extensions reduce the bytes for membership news down to this. */
    constexpr size_t leastNewsBytes = 600;
    constexpr Duration refusalLogPeriod = std::chrono::minutes(1);
    constexpr size_t maximumRefusalSenders = 1024;
    /** Requests other than heartbeats that are handled at once; the remaining contexts are left to heartbeats. */
    constexpr size_t maximumHandled = NngTransport::maximumRequests - 16;
    /** Renewals within a minute that indicate a second process with the same id. */
    constexpr size_t renewalsOfConflict = 3;

    std::string_view nameOf(MemberState state)
    {
        constexpr std::array<std::string_view, 5> names { "joining", "ready", "leaving", "suspected", "dropped" };
        return names.at(static_cast<size_t>(state));
    }

} // namespace

class NngPeerService::State : public std::enable_shared_from_this<State> {
public:
    State(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, NngPeerOptions options, Bootstrap bootstrap, LinkFilter linkFilter)
        : context(context)
        , timers(timers)
        , log(log)
        , metrics(metrics)
        , options(std::move(options))
        , bootstrap(std::move(bootstrap))
        , linkFilter(std::move(linkFilter))
        , m_transport(context, timers)
        , m_random(this->options.randomSeed)
    {
        table.self.id = this->options.id;
        table.self.incarnation = this->options.incarnation;
        table.self.counter = 1;
        table.self.zone = this->options.zone;
        table.self.region = this->options.region;
        table.self.callerAddress = this->options.callerAddress;
        table.self.peerAddress = formatEndpoint(this->options.listenAddress);
    }

    void start();
    void close();
    void announceChange();
    asio::awaitable<Result<json>> call(DaemonId receiver, std::string type, json body, Duration timeout);

    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    NngPeerOptions options;
    Bootstrap bootstrap;
    LinkFilter linkFilter;
    MemberTable table;
    std::map<std::string, PeerHandler> handlers;
    std::vector<HeartbeatExtension> extensions;
    std::vector<std::function<void(const MemberRecord&)>> subscribers;

private:
    void beat();
    void spawnHeartbeat(std::string address, std::optional<MemberRecord> removed = {});
    asio::awaitable<void> sendHeartbeat(std::string address, std::optional<MemberRecord> removed);
    void probeStranger();
    json composeHeartbeat(const HeartbeatNews* request);
    json composeExtensions(size_t& bytes);
    Result<void> acceptHeartbeat(const DaemonId& sender, const json& body, HeartbeatNews& news);
    void resolveConflict(const MergeOutcome&);
    void publish(const std::vector<MemberRecord>& changes);
    asio::awaitable<Result<json>> exchange(std::string address, DaemonId receiver, std::string type, json body, Duration timeout);
    asio::awaitable<std::string> answer(std::string request);
    asio::awaitable<Result<json>> dispatch(DaemonId sender, std::string type, json body);
    asio::awaitable<Result<json>> runHandler(DaemonId sender, std::string type, json body);
    std::optional<Error> refusal(const PeerMessage&) const;
    void logRefusal(const std::string& sender, const Error&);
    std::string encode(DaemonId receiver, std::string type, json body) const;
    std::string encodeReply(DaemonId receiver, Result<json> result) const;
    void countMessage(const char* direction, size_t bytes);

    NngTransport m_transport;
    std::mt19937_64 m_random;
    TimerSubscription m_heartbeats;
    std::set<std::string> m_heartbeatsInFlight;
    std::map<std::string, TimePoint> m_loggedRefusals;
    std::vector<TimePoint> m_renewals;
    size_t m_handledRequests = 0;
    bool m_isClosed = false;
};

void NngPeerService::State::start()
{
    std::weak_ptr<State> weak = weak_from_this();
    auto bound = m_transport.listen(options.listenAddress, [weak](std::string request) -> asio::awaitable<std::string> {
        // Not a coroutine itself: the returned one owns the state.
        auto state = weak.lock();
        if (!state)
            throw std::runtime_error("the peer service is gone");
        return [](std::shared_ptr<State> owner, std::string bytes) -> asio::awaitable<std::string> {
            co_return co_await owner->answer(std::move(bytes));
        }(state, std::move(request));
    });
    if (!bound)
        throw std::runtime_error("cannot listen on " + formatEndpoint(options.listenAddress) + ": " + bound.error().detail);
    table.self.peerAddress = formatEndpoint(*bound);
    log.write(EventId::ListenerStarted, { { "listener", "peers" }, { "address", table.self.peerAddress } });
    m_heartbeats = timers.every(heartbeatPeriod, [weak] {
        if (auto state = weak.lock())
            state->beat();
    });
}

void NngPeerService::State::close()
{
    m_isClosed = true;
    m_heartbeats.cancel();
    m_transport.close();
}

void NngPeerService::State::announceChange()
{
    // The counter makes the changed record supersede the one that peers have.
    advanceSelf(table);
}

void NngPeerService::State::countMessage(const char* direction, size_t bytes)
{
    metrics.count("chestnut_peer_messages_total", { { "direction", direction } });
    metrics.count("chestnut_peer_bytes_total", { { "direction", direction } }, static_cast<double>(bytes));
}

std::string NngPeerService::State::encode(DaemonId receiver, std::string type, json body) const
{
    return encodePeerMessage({ options.deployment, options.version, table.self.id, table.self.incarnation, std::move(receiver), std::move(type), std::move(body) });
}

void NngPeerService::State::beat()
{
    publish(expireMembers(table, timers.now()));
    m_transport.closeIdle();
    advanceSelf(table);
    auto targets = chooseHeartbeatTargets(table, m_random);
    if (auto removed = takeRemovedButAlive(table, m_random)) {
        spawnHeartbeat(removed->peerAddress, removed);
        targets.resize(std::min(targets.size(), randomHeartbeatTargets));
    }
    for (const auto& target : targets)
        spawnHeartbeat(target.peerAddress);
    if (table.others.empty() || table.self.counter % bootstrapRounds == 0)
        probeStranger();
}

void NngPeerService::State::probeStranger()
{
    std::set<std::string> addresses;
    for (const auto& endpoint : options.seeds)
        addresses.insert(formatEndpoint(endpoint));
    for (const auto& endpoint : bootstrap ? bootstrap() : std::vector<Endpoint>())
        addresses.insert(formatEndpoint(endpoint));
    for (const auto& [id, record] : table.removed)
        addresses.insert(record.peerAddress);
    addresses.erase(table.self.peerAddress);
    for (const auto& [id, member] : table.others)
        addresses.erase(member.record.peerAddress);
    if (addresses.empty())
        return;
    auto chosen = std::next(addresses.begin(), static_cast<ptrdiff_t>(m_random() % addresses.size()));
    spawnHeartbeat(*chosen);
}

void NngPeerService::State::spawnHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    asio::co_spawn(
        context, [](std::shared_ptr<State> state, std::string receiver, std::optional<MemberRecord> notice) -> asio::awaitable<void> {
            co_await state->sendHeartbeat(std::move(receiver), std::move(notice));
        }(shared_from_this(), std::move(address), std::move(removed)),
        asio::detached);
}

asio::awaitable<void> NngPeerService::State::sendHeartbeat(std::string address, std::optional<MemberRecord> removed)
{
    // A peer that has not answered the previous heartbeat gets no further one, so that a paused one collects none.
    if (!m_heartbeatsInFlight.insert(address).second)
        co_return;
    HeartbeatNews notice;
    if (removed)
        notice.own = *removed;
    auto heartbeat = composeHeartbeat(removed ? &notice : nullptr);
    auto reply = co_await exchange(address, DaemonId(), heartbeatType, std::move(heartbeat), heartbeatTimeout);
    m_heartbeatsInFlight.erase(address);
    HeartbeatNews news;
    if (reply && !m_isClosed)
        (void)acceptHeartbeat(DaemonId(), *reply, news);
}

json NngPeerService::State::composeExtensions(size_t& bytes)
{
    auto values = json::object();
    for (const auto& extension : extensions) {
        auto value = extension.produce();
        auto size = json::to_cbor(value).size();
        if (size > maximumExtensionBytes) {
            logRefusal("extension " + extension.key, makeError(ErrorKind::BodyTooLarge, std::to_string(size) + " bytes"));
            continue;
        }
        bytes += size + extension.key.size();
        values[extension.key] = std::move(value);
    }
    return values;
}

json NngPeerService::State::composeHeartbeat(const HeartbeatNews* request)
{
    size_t extensionBytes = 0;
    auto values = composeExtensions(extensionBytes);
    auto newsBytes = std::max(leastNewsBytes, newsBytesPerHeartbeat - std::min(newsBytesPerHeartbeat, extensionBytes));
    auto body = encodeNews(composeNews(table, timers.now(), m_random, newsBytes, request));
    body["extensions"] = std::move(values);
    return body;
}

Result<void> NngPeerService::State::acceptHeartbeat(const DaemonId& sender, const json& body, HeartbeatNews& news)
{
    auto decoded = decodeNews(body);
    if (!decoded)
        return makeError(ErrorKind::ProtocolError, "malformed heartbeat");
    if (!sender.empty() && sender != decoded->own.id)
        return makeError(ErrorKind::ProtocolError, "the heartbeat's record is not the sender's");
    news = std::move(*decoded);
    auto outcome = mergeNews(table, news, timers.now());
    resolveConflict(outcome);
    publish(outcome.changes);
    auto values = body.find("extensions");
    if (values == body.end() || !values->is_object() || news.own.id == table.self.id)
        return {};
    for (const auto& extension : extensions) {
        if (auto value = values->find(extension.key); value != values->end())
            extension.consume(news.own.id, *value);
    }
    return {};
}

void NngPeerService::State::resolveConflict(const MergeOutcome& outcome)
{
    if (outcome.conflict == SelfConflict::None)
        return;
    auto now = timers.now();
    std::erase_if(m_renewals, [&](TimePoint time) { return now - time > refusalLogPeriod; });
    // Two processes with one id would otherwise renew at each other's heartbeats without a bound.
    if (!m_renewals.empty() && now - m_renewals.back() < heartbeatPeriod)
        return;
    m_renewals.push_back(now);
    auto before = table.self.incarnation;
    renewIncarnation(table, static_cast<Incarnation>(timers.wallClock().count()) * 1000, outcome.conflictingRecord);
    const auto& other = *outcome.conflictingRecord;
    bool isSecondProcess = other.peerAddress != table.self.peerAddress || m_renewals.size() >= renewalsOfConflict;
    auto event = isSecondProcess ? EventId::IdentityConflict : EventId::IncarnationRenewed;
    auto reason = outcome.conflict == SelfConflict::AnnouncedDropped ? "announced_dropped" : "newer_record";
    log.write(event, { { "reason", reason }, { "before", before }, { "after", table.self.incarnation }, { "other_address", other.peerAddress } });
    metrics.count(isSecondProcess ? "chestnut_peer_identity_conflicts_total" : "chestnut_peer_incarnations_renewed_total");
    publish({ table.self });
}

void NngPeerService::State::publish(const std::vector<MemberRecord>& changes)
{
    for (const auto& change : changes) {
        if (change.state == MemberState::Dropped)
            m_transport.disconnect(change.peerAddress);
        log.write(EventId::MemberChanged, { { "member", change.id }, { "incarnation", change.incarnation }, { "state", nameOf(change.state) }, { "revision", change.revision }, { "address", change.peerAddress } });
        auto current = subscribers;
        for (const auto& subscriber : current)
            subscriber(change);
    }
}

std::optional<Error> NngPeerService::State::refusal(const PeerMessage& message) const
{
    if (message.deployment != options.deployment)
        return makeError(ErrorKind::ProtocolError, "message of deployment " + message.deployment);
    if (message.version.major != options.version.major)
        return makeError(ErrorKind::ProtocolError, "unknown protocol version " + std::to_string(message.version.major));
    if (!message.receiver.empty() && message.receiver != table.self.id)
        return makeError(ErrorKind::NotFound, "message for daemon " + message.receiver.value());
    return std::nullopt;
}

void NngPeerService::State::logRefusal(const std::string& sender, const Error& error)
{
    auto now = timers.now();
    if (m_loggedRefusals.size() >= maximumRefusalSenders)
        std::erase_if(m_loggedRefusals, [&](const auto& entry) { return now - entry.second >= refusalLogPeriod; });
    auto [logged, isNew] = m_loggedRefusals.try_emplace(sender, now);
    metrics.count("chestnut_peer_messages_refused_total");
    if (!isNew && now - logged->second < refusalLogPeriod)
        return;
    logged->second = now;
    if (m_loggedRefusals.size() > maximumRefusalSenders)
        m_loggedRefusals.erase(logged);
    log.write(EventId::PeerMessageRefused, { { "sender", sender }, { "reason", error.detail } });
}

std::string NngPeerService::State::encodeReply(DaemonId receiver, Result<json> result) const
{
    if (!result)
        return encode(std::move(receiver), errorType, encodeError(result.error()));
    auto bytes = encode(receiver, "reply", std::move(*result));
    if (bytes.size() <= maximumPeerMessageBytes)
        return bytes;
    // The handler has run, so the caller must not conclude that it has not.
    return encode(std::move(receiver), errorType, encodeError(makeError(ErrorKind::OutcomeUnknown, "the reply is too large")));
}

asio::awaitable<std::string> NngPeerService::State::answer(std::string request)
{
    countMessage("received", request.size());
    auto message = decodePeerMessage(request);
    std::string reply;
    if (!message) {
        logRefusal("(malformed)", message.error());
        reply = encodeReply(DaemonId(), message.error());
    } else if (auto refused = refusal(*message)) {
        logRefusal(message->sender.value(), *refused);
        reply = encodeReply(message->sender, *refused);
    } else {
        auto sender = message->sender;
        auto result = co_await dispatch(sender, message->type, std::move(message->body));
        reply = encodeReply(sender, std::move(result));
    }
    countMessage("sent", reply.size());
    co_return reply;
}

asio::awaitable<Result<json>> NngPeerService::State::dispatch(DaemonId sender, std::string type, json body)
{
    if (m_isClosed)
        co_return makeError(ErrorKind::Leaving, "the daemon stops");
    if (type == heartbeatType) {
        HeartbeatNews news;
        if (auto accepted = acceptHeartbeat(sender, body, news); !accepted)
            co_return accepted.error();
        co_return composeHeartbeat(&news);
    }
    if (m_handledRequests >= maximumHandled)
        co_return makeError(ErrorKind::Overloaded, "too many requests of peers");
    co_return co_await runHandler(std::move(sender), std::move(type), std::move(body));
}

asio::awaitable<Result<json>> NngPeerService::State::runHandler(DaemonId sender, std::string type, json body)
{
    auto found = handlers.find(type);
    if (found == handlers.end())
        co_return makeError(ErrorKind::NotFound, "no handler for messages of type " + type);
    auto handler = found->second;
    ++m_handledRequests;
    Result<json> result = makeError(ErrorKind::Internal, "");
    try {
        result = co_await handler(std::move(sender), std::move(body));
    } catch (const std::exception& exception) {
        log.write(EventId::PeerHandlerFailed, { { "type", type }, { "exception", exception.what() } });
        result = makeError(ErrorKind::Internal, exception.what());
    }
    --m_handledRequests;
    co_return result;
}

asio::awaitable<Result<json>> NngPeerService::State::exchange(std::string address, DaemonId receiver, std::string type, json body, Duration timeout)
{
    if (linkFilter && !linkFilter(address))
        co_return makeError(ErrorKind::ConnectFailed, "the link is cut");
    auto request = encode(receiver, std::move(type), std::move(body));
    if (request.size() > maximumPeerMessageBytes)
        co_return makeError(ErrorKind::BodyTooLarge, "message of " + std::to_string(request.size()) + " bytes");
    countMessage("sent", request.size());
    auto bytes = co_await m_transport.call(std::move(address), std::move(request), timeout);
    if (!bytes)
        co_return bytes.error();
    countMessage("received", bytes->size());
    auto reply = decodePeerMessage(*bytes);
    if (!reply)
        co_return makeError(ErrorKind::OutcomeUnknown, "malformed reply: " + reply.error().detail);
    if (reply->type == errorType)
        co_return decodeError(reply->body);
    if (reply->deployment != options.deployment || (!receiver.empty() && reply->sender != receiver))
        co_return makeError(ErrorKind::OutcomeUnknown, "a reply of daemon " + reply->sender.value());
    co_return std::move(reply->body);
}

asio::awaitable<Result<json>> NngPeerService::State::call(DaemonId receiver, std::string type, json body, Duration timeout)
{
    if (receiver == table.self.id)
        co_return co_await dispatch(receiver, std::move(type), std::move(body));
    auto known = table.others.find(receiver);
    if (known == table.others.end())
        co_return makeError(ErrorKind::ConnectFailed, "daemon " + receiver.value() + " is not a member");
    co_return co_await exchange(known->second.record.peerAddress, receiver, std::move(type), std::move(body), timeout);
}

NngPeerOptions readPeerOptions(SettingsReader& reader, Incarnation startedAt, uint64_t randomSeed)
{
    NngPeerOptions options;
    options.deployment = reader.text("peers", "deployment");
    options.id = DaemonId(reader.text("vm", "id"));
    options.zone = AvailabilityZone(reader.text("vm", "zone"));
    options.region = Region(reader.text("vm", "region"));
    options.listenAddress = reader.endpoint("listen", "peers");
    options.callerAddress = formatEndpoint(reader.endpoint("listen", "callers"));
    options.seeds = reader.endpoints("peers", "seeds");
    options.incarnation = startedAt;
    options.randomSeed = randomSeed;
    return options;
}

NngPeerService::NngPeerService(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, NngPeerOptions options, Bootstrap bootstrap, LinkFilter linkFilter)
    : m_state(std::make_shared<State>(context, timers, log, metrics, std::move(options), std::move(bootstrap), std::move(linkFilter)))
{
}

NngPeerService::~NngPeerService()
{
    m_state->close();
}

void NngPeerService::start()
{
    m_state->start();
}

asio::awaitable<void> NngPeerService::stop()
{
    m_state->close();
    co_return;
}

void NngPeerService::handle(std::string type, PeerHandler handler)
{
    [[maybe_unused]] bool isNew = m_state->handlers.emplace(std::move(type), std::move(handler)).second;
    assert(isNew);
}

void NngPeerService::extendHeartbeat(HeartbeatExtension extension)
{
    m_state->extensions.push_back(std::move(extension));
}

asio::awaitable<Result<nlohmann::json>> NngPeerService::call(DaemonId receiver, std::string type, nlohmann::json body, Duration timeout)
{
    auto state = m_state;
    co_return co_await state->call(std::move(receiver), std::move(type), std::move(body), timeout);
}

std::vector<MemberRecord> NngPeerService::members() const
{
    std::map<DaemonId, MemberRecord> byId { { m_state->table.self.id, m_state->table.self } };
    for (const auto& [id, member] : m_state->table.others)
        byId.emplace(id, visibleRecord(member));
    std::vector<MemberRecord> records;
    records.reserve(byId.size());
    for (auto& [id, record] : byId)
        records.push_back(std::move(record));
    return records;
}

std::optional<MemberRecord> NngPeerService::member(const DaemonId& id) const
{
    if (id == m_state->table.self.id)
        return m_state->table.self;
    auto known = m_state->table.others.find(id);
    if (known == m_state->table.others.end())
        return std::nullopt;
    return visibleRecord(known->second);
}

const DaemonId& NngPeerService::self() const
{
    return m_state->table.self.id;
}

Incarnation NngPeerService::incarnation() const
{
    return m_state->table.self.incarnation;
}

void NngPeerService::announceState(MemberState state)
{
    m_state->table.self.state = state;
    m_state->announceChange();
}

void NngPeerService::announceRevision(Revision revision)
{
    assert(revision >= m_state->table.self.revision);
    m_state->table.self.revision = revision;
    m_state->announceChange();
}

void NngPeerService::announceLoad(uint32_t loadPermille)
{
    // Sent with the next heartbeat, which counts anyway.
    m_state->table.self.loadPermille = loadPermille;
}

void NngPeerService::onMemberChange(std::function<void(const MemberRecord&)> subscriber)
{
    m_state->subscribers.push_back(std::move(subscriber));
}

} // namespace chestnut
