#pragma once

#include "claims/service/ClaimService.h"
#include "control/configuration/ConfigurationService.h"
#include "peers/service/PeerService.h"

#include <map>

namespace chestnut {

/** A configuration that never changes. */
class StaticConfiguration final : public ConfigurationService {
public:
    explicit StaticConfiguration(Configuration configuration)
        : m_configuration(std::make_shared<Configuration>(std::move(configuration)))
    {
    }

    std::shared_ptr<const Configuration> current() const override { return m_configuration; }
    void onChange(std::function<void(std::shared_ptr<const Configuration>)>) override { }

private:
    std::shared_ptr<const Configuration> m_configuration;
};

/** Claims of one process; lost with it. */
class MemoryClaims final : public ClaimService {
public:
    asio::awaitable<Result<ClaimDecision>> claim(AccountId account, std::string key, Digest content) override
    {
        auto [record, isNew] = m_records.try_emplace({ account, key }, Record { content, {} });
        if (isNew)
            co_return ClaimDecision(ClaimGranted {});
        if (record->second.content != content)
            co_return makeError(ErrorKind::KeyConflict, "the key was used with another body");
        if (record->second.response)
            co_return ClaimDecision(ClaimAnswered { *record->second.response });
        co_return makeError(ErrorKind::AlreadyRun, "the call was started before");
    }
    std::optional<Result<ClaimDecision>> known(AccountId account, const std::string& key, const Digest& content) const override
    {
        auto record = m_records.find({ account, key });
        if (record == m_records.end())
            return std::nullopt;
        if (record->second.content != content)
            return makeError(ErrorKind::KeyConflict, "the key was used with another body");
        if (record->second.response)
            return Result<ClaimDecision>(ClaimAnswered { *record->second.response });
        return makeError(ErrorKind::AlreadyRun, "the call was started before");
    }
    asio::awaitable<std::optional<Error>> findClaimed(AccountId, std::string, Digest) override { co_return std::nullopt; }
    void complete(AccountId account, const std::string& key, HttpResponse response) override { m_records[{ account, key }].response = std::move(response); }
    void abandon(AccountId account, const std::string& key) override { m_records.erase({ account, key }); }
    std::string keyPrefix() const override { return "1"; }

private:
    struct Record {
        Digest content;
        std::optional<HttpResponse> response;
    };
    std::map<std::pair<AccountId, std::string>, Record> m_records;
};

/** A fixed list of daemons without heartbeats. */
class StaticPeers final : public PeerService {
public:
    StaticPeers(const std::string& ownAddress, const std::vector<std::string>& others, int64_t incarnation)
        : m_self(ownAddress)
        , m_incarnation(static_cast<Incarnation>(incarnation))
    {
        add(ownAddress);
        for (const auto& address : others)
            add(address);
    }

    void handle(std::string, PeerHandler) override { }
    void extendHeartbeat(HeartbeatExtension) override { }
    asio::awaitable<Result<nlohmann::json>> call(DaemonId, std::string, nlohmann::json, Duration) override { co_return makeError(ErrorKind::ConnectFailed, "no peers"); }
    std::vector<MemberRecord> members() const override { return m_members; }
    std::optional<MemberRecord> member(const DaemonId&) const override { return m_members.front(); }
    const DaemonId& self() const override { return m_self; }
    Incarnation incarnation() const override { return m_incarnation; }
    void announceState(MemberState state) override { m_members.front().state = state; }
    void announceRevision(Revision) override { }
    void announceLoad(uint32_t loadPermille) override { m_members.front().loadPermille = loadPermille; }
    void onMemberChange(std::function<void(const MemberRecord&)>) override { }

private:
    void add(const std::string& address) { m_members.push_back({ DaemonId(address), m_incarnation, 1, MemberState::Ready, AvailabilityZone("a"), Region("r"), address, address }); }

    DaemonId m_self;
    Incarnation m_incarnation;
    std::vector<MemberRecord> m_members;
};

} // namespace chestnut
