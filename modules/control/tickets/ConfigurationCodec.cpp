#include "control/tickets/ConfigurationCodec.h"

#include "base/text/JsonNesting.h"

#include <array>
#include <boost/leaf.hpp>
#include <cmath>
#include <limits>
#include <set>

namespace chestnut {

namespace {

    namespace leaf = boost::leaf;
    using nlohmann::json;

    constexpr std::array<std::string_view, 3> roleNames { "mixed", "prefill", "decode" };
    constexpr std::array<std::string_view, 2> policyNames { "automatic", "fixed" };
    constexpr std::array<std::string_view, 2> membershipNames { "joined", "leaving" };

    /** Reads the fields of one JSON object and collects all faults, so that one response reports them to the operator. */
    class FieldReader {
    public:
        FieldReader(const json& object, std::string key, std::vector<TicketFault>& faults)
            : m_object(object)
            , m_key(std::move(key))
            , m_faults(faults)
        {
            if (!m_object.is_object())
                fault("must be an object");
        }

        std::string text(const char* name)
        {
            const auto* value = required(name);
            if (!value)
                return {};
            if (!value->is_string()) {
                fault(std::string(name) + " must be a string");
                return {};
            }
            return value->get<std::string>();
        }

        std::vector<std::string> texts(const char* name)
        {
            std::vector<std::string> values;
            const auto* value = find(name);
            if (!value)
                return values;
            if (!value->is_array()) {
                fault(std::string(name) + " must be a list of strings");
                return values;
            }
            for (const auto& element : *value) {
                if (element.is_string())
                    values.push_back(element.get<std::string>());
                else
                    fault(std::string(name) + " must be a list of strings");
            }
            return values;
        }

        template <typename T>
        T wholeNumber(const char* name, T fallback)
        {
            const auto* value = find(name);
            if (!value)
                return fallback;
            if (!value->is_number_unsigned() || value->template get<uint64_t>() > std::numeric_limits<T>::max()) {
                fault(std::string(name) + " must be a whole number from 0 to " + std::to_string(std::numeric_limits<T>::max()));
                return fallback;
            }
            return value->template get<T>();
        }

        double number(const char* name, double fallback)
        {
            const auto* value = find(name);
            if (!value)
                return fallback;
            if (value->is_number())
                return value->get<double>();
            fault(std::string(name) + " must be a number");
            return fallback;
        }

        bool boolean(const char* name, bool fallback)
        {
            const auto* value = find(name);
            if (!value)
                return fallback;
            if (value->is_boolean())
                return value->get<bool>();
            fault(std::string(name) + " must be true or false");
            return fallback;
        }

        template <typename Enum, size_t count>
        Enum oneOf(const char* name, const std::array<std::string_view, count>& names)
        {
            const auto* value = find(name);
            if (!value)
                return Enum {};
            for (size_t i = 0; i < count; ++i) {
                if (value->is_string() && value->get_ref<const std::string&>() == names[i])
                    return static_cast<Enum>(i);
            }
            std::string allowed;
            for (auto allowedName : names)
                allowed += (allowed.empty() ? "" : ", ") + std::string(allowedName);
            fault(std::string(name) + " must be one of " + allowed);
            return Enum {};
        }

        const json* find(const char* name)
        {
            m_readFields.insert(name);
            if (!m_object.is_object())
                return nullptr;
            auto found = m_object.find(name);
            return found == m_object.end() ? nullptr : &*found;
        }

        /** Reports fields that were never read; a misspelt field would otherwise silently keep its default. */
        void reportUnknownFields()
        {
            if (!m_object.is_object())
                return;
            for (const auto& [name, value] : m_object.items()) {
                if (!m_readFields.contains(name))
                    fault("unknown field " + name);
            }
        }

    private:
        const json* required(const char* name)
        {
            const auto* value = find(name);
            if (!value)
                fault(std::string(name) + " is missing");
            return value;
        }

        void fault(std::string text) { m_faults.push_back({ m_key, std::move(text) }); }

        const json& m_object;
        std::string m_key;
        std::vector<TicketFault>& m_faults;
        std::set<std::string> m_readFields;
    };

    ModelSpec readSpec(FieldReader& reader, const std::string& id, const ModelSpec&)
    {
        ModelSpec model { ModelId(id), reader.text("version"), reader.texts("adapters"), 0, 0 };
        model.weightBytes = reader.wholeNumber<uint64_t>("weight_bytes", 0);
        return model;
    }

    EngineSpec readSpec(FieldReader& reader, const std::string& id, const EngineSpec& fallback)
    {
        EngineSpec engine;
        engine.id = EngineId(id);
        engine.address = reader.text("address");
        engine.zone = AvailabilityZone(reader.text("zone"));
        engine.region = Region(reader.text("region"));
        engine.model = ModelId(reader.text("model"));
        engine.role = reader.oneOf<EngineRole>("role", roleNames);
        engine.rolePolicy = reader.oneOf<RolePolicy>("role_policy", policyNames);
        engine.membership = reader.oneOf<Membership>("membership", membershipNames);
        engine.slots = reader.wholeNumber<uint32_t>("slots", fallback.slots);
        engine.checksFencing = reader.boolean("checks_fencing", fallback.checksFencing);
        return engine;
    }

    BackendServerSpec readSpec(FieldReader& reader, const std::string& id, const BackendServerSpec& fallback)
    {
        BackendServerSpec server;
        server.id = ReplicaId(id);
        server.service = ServiceId(reader.text("service"));
        server.address = reader.text("address");
        server.zone = AvailabilityZone(reader.text("zone"));
        server.region = Region(reader.text("region"));
        server.membership = reader.oneOf<Membership>("membership", membershipNames);
        server.slots = reader.wholeNumber<uint32_t>("slots", fallback.slots);
        server.checksFencing = reader.boolean("checks_fencing", fallback.checksFencing);
        return server;
    }

    AccountSpec readSpec(FieldReader& reader, const std::string& id, const AccountSpec& fallback)
    {
        return { AccountId(id), reader.number("weight", fallback.weight), reader.wholeNumber<uint32_t>("maximum_in_flight", fallback.maximumInFlight), 0 };
    }

    LimitsSpec readLimits(FieldReader& reader)
    {
        LimitsSpec limits;
        limits.maximumQueue = reader.wholeNumber("maximum_queue", limits.maximumQueue);
        limits.minimumReplicasPerModelZone = reader.wholeNumber("minimum_replicas_per_model_zone", limits.minimumReplicasPerModelZone);
        limits.maximumConcurrentLoads = reader.wholeNumber("maximum_concurrent_loads", limits.maximumConcurrentLoads);
        return limits;
    }

    /** Unknown fields of an operator's ticket are faults, because a misspelt field would be lost. A stored document may
        come from a newer version of the daemon, so its unknown fields are ignored. */
    enum class DocumentSource : uint8_t {
        Operator,
        Stored,
    };

    template <typename Spec>
    void readObjects(FieldReader& top, const char* section, const std::string& kind, std::map<std::string, Spec>& target, std::vector<TicketFault>& faults, DocumentSource source)
    {
        const auto* objects = top.find(section);
        if (!objects)
            return;
        if (!objects->is_object()) {
            faults.push_back({ "ticket", std::string(section) + " must be an object" });
            return;
        }
        for (const auto& [id, object] : objects->items()) {
            auto key = kind;
            key.append("/").append(id);
            FieldReader reader(object, std::move(key), faults);
            auto spec = readSpec(reader, id, Spec {});
            if (source == DocumentSource::Operator)
                reader.reportUnknownFields();
            else
                spec.setBy = reader.wholeNumber<TicketNumber>("set_by", 0);
            target.emplace(id, std::move(spec));
        }
    }

    json accountToJson(const AccountSpec& account)
    {
        return { { "weight", account.weight }, { "maximum_in_flight", account.maximumInFlight } };
    }

    json limitsToJson(const LimitsSpec& limits)
    {
        return { { "maximum_queue", limits.maximumQueue }, { "minimum_replicas_per_model_zone", limits.minimumReplicasPerModelZone },
            { "maximum_concurrent_loads", limits.maximumConcurrentLoads } };
    }

    template <typename Map, typename Encode>
    json objectsToJson(const Map& map, Encode encode, bool withSetBy)
    {
        json objects = json::object();
        for (const auto& [id, spec] : map) {
            auto object = encode(spec);
            if (withSetBy)
                object["set_by"] = spec.setBy;
            objects[id] = std::move(object);
        }
        return objects;
    }

    leaf::result<json> parseJson(std::string_view text)
    {
        auto document = isNestedTooDeep(text) ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
        if (document.is_discarded())
            return leaf::new_error(makeError(ErrorKind::BadJson, "the text is not valid JSON"));
        return document;
    }

    leaf::result<Ticket> readTicket(const json& document, DocumentSource source)
    {
        std::vector<TicketFault> faults;
        FieldReader top(document, "ticket", faults);
        Ticket ticket;
        ticket.number = top.wholeNumber<TicketNumber>("number", 0);
        readObjects(top, "models", "model", ticket.models, faults, source);
        readObjects(top, "engines", "engine", ticket.engines, faults, source);
        readObjects(top, "backend_servers", "backend_server", ticket.backendServers, faults, source);
        readObjects(top, "accounts", "account", ticket.accounts, faults, source);
        if (const auto* limits = top.find("limits")) {
            FieldReader reader(*limits, std::string(limitsKey), faults);
            ticket.limits = readLimits(reader);
            if (source == DocumentSource::Operator)
                reader.reportUnknownFields();
        }
        ticket.removals = top.texts("remove");
        if (source == DocumentSource::Operator)
            top.reportUnknownFields();
        if (!faults.empty())
            return leaf::new_error(makeError(ErrorKind::TicketInvalid, joinFaults(faults)));
        return ticket;
    }

    json acceptedToJson(const std::vector<AcceptedTicket>& tickets)
    {
        json rows = json::array();
        for (const auto& ticket : tickets)
            rows.push_back({ ticket.number, toHex(ticket.content), ticket.revision });
        return rows;
    }

    /** Throws json::exception when a field is missing or mistyped. */
    void readRows(const json& document, Configuration& configuration)
    {
        for (const auto& row : document.at("accounts")) {
            AccountSpec account { AccountId(row.at(0).get<std::string>()), row.at(1), row.at(2), row.at(3) };
            configuration.accounts.emplace(account.id.value(), account);
        }
        for (const auto& row : document.at("tickets")) {
            auto content = digestFromHex(row.at(1).get<std::string>()).value_or(Digest {});
            configuration.recentTickets.push_back({ row.at(0), content, row.at(2) });
        }
        configuration.removedBy = document.at("removed").get<std::map<std::string, TicketNumber>>();
        configuration.removalFloor = document.at("removal_floor");
        configuration.ticketFloor = document.value("ticket_floor", TicketNumber(0));
    }

    leaf::result<Configuration> readConfiguration(const json& document)
    {
        std::vector<TicketFault> faults;
        Configuration configuration;
        FieldReader top(document, "configuration", faults);
        configuration.revision = top.wholeNumber<Revision>("revision", 0);
        readObjects(top, "models", "model", configuration.models, faults, DocumentSource::Stored);
        readObjects(top, "engines", "engine", configuration.engines, faults, DocumentSource::Stored);
        readObjects(top, "backend_servers", "backend_server", configuration.backendServers, faults, DocumentSource::Stored);
        if (const auto* limits = top.find("limits")) {
            FieldReader reader(*limits, std::string(limitsKey), faults);
            configuration.limits = readLimits(reader);
            configuration.limits.setBy = reader.wholeNumber<TicketNumber>("set_by", 0);
        }
        try {
            readRows(document, configuration);
        } catch (const json::exception& exception) {
            faults.push_back({ "configuration", exception.what() });
        }
        if (!faults.empty())
            return leaf::new_error(makeError(ErrorKind::ProtocolError, joinFaults(faults)));
        return configuration;
    }

    leaf::result<Configuration> parseConfiguration(std::string_view text)
    {
        BOOST_LEAF_AUTO(document, parseJson(text));
        return readConfiguration(document);
    }

    template <typename Read>
    Result<Ticket> ticketResult(Read read)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<Result<Ticket>> {
                BOOST_LEAF_AUTO(ticket, read());
                return Result<Ticket>(std::move(ticket));
            },
            [](const Error& error) -> Result<Ticket> { return error; },
            []() -> Result<Ticket> { return makeError(ErrorKind::Internal, "unknown error while reading a ticket"); });
    }

    template <typename Read>
    Result<Configuration> configurationResult(Read read)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<Result<Configuration>> {
                BOOST_LEAF_AUTO(configuration, read());
                return Result<Configuration>(std::move(configuration));
            },
            [](const Error& error) -> Result<Configuration> { return makeError(ErrorKind::ProtocolError, error.detail); },
            []() -> Result<Configuration> { return makeError(ErrorKind::Internal, "unknown error while reading a configuration"); });
    }

    template <typename Name, size_t count>
    std::string_view nameIn(const std::array<std::string_view, count>& names, Name value)
    {
        return names[static_cast<size_t>(value)];
    }

} // namespace

std::string_view nameOf(EngineRole role) { return nameIn(roleNames, role); }
std::string_view nameOf(RolePolicy policy) { return nameIn(policyNames, policy); }
std::string_view nameOf(Membership membership) { return nameIn(membershipNames, membership); }

std::optional<EngineRole> engineRoleFromName(std::string_view name)
{
    for (size_t i = 0; i < roleNames.size(); ++i) {
        if (roleNames[i] == name)
            return static_cast<EngineRole>(i);
    }
    return std::nullopt;
}

json modelToJson(const ModelSpec& model)
{
    return { { "version", model.version }, { "adapters", model.adapters }, { "weight_bytes", model.weightBytes } };
}

json engineToJson(const EngineSpec& engine)
{
    return { { "address", engine.address }, { "zone", engine.zone.value() }, { "region", engine.region.value() }, { "model", engine.model.value() },
        { "role", nameOf(engine.role) }, { "role_policy", nameOf(engine.rolePolicy) }, { "membership", nameOf(engine.membership) },
        { "slots", engine.slots }, { "checks_fencing", engine.checksFencing } };
}

json backendServerToJson(const BackendServerSpec& server)
{
    return { { "service", server.service.value() }, { "address", server.address }, { "zone", server.zone.value() }, { "region", server.region.value() },
        { "membership", nameOf(server.membership) }, { "slots", server.slots }, { "checks_fencing", server.checksFencing } };
}

json configurationToJson(const Configuration& configuration)
{
    json document { { "revision", configuration.revision }, { "models", objectsToJson(configuration.models, modelToJson, true) },
        { "engines", objectsToJson(configuration.engines, engineToJson, true) },
        { "backend_servers", objectsToJson(configuration.backendServers, backendServerToJson, true) }, { "limits", limitsToJson(configuration.limits) },
        { "tickets", acceptedToJson(configuration.recentTickets) }, { "removed", configuration.removedBy }, { "removal_floor", configuration.removalFloor },
        { "ticket_floor", configuration.ticketFloor } };
    document["limits"]["set_by"] = configuration.limits.setBy;
    auto& accounts = document["accounts"] = json::array();
    for (const auto& [id, account] : configuration.accounts)
        accounts.push_back({ id, account.weight, account.maximumInFlight, account.setBy });
    return document;
}

std::string encodeConfiguration(const Configuration& configuration)
{
    return configurationToJson(configuration).dump();
}

Result<Configuration> decodeConfiguration(std::string_view text)
{
    return configurationResult([&] { return parseConfiguration(text); });
}

Result<Configuration> configurationFromJson(const json& document)
{
    return configurationResult([&] { return readConfiguration(document); });
}

json ticketToJson(const Ticket& ticket)
{
    json document { { "number", ticket.number } };
    if (!ticket.models.empty())
        document["models"] = objectsToJson(ticket.models, modelToJson, false);
    if (!ticket.engines.empty())
        document["engines"] = objectsToJson(ticket.engines, engineToJson, false);
    if (!ticket.backendServers.empty())
        document["backend_servers"] = objectsToJson(ticket.backendServers, backendServerToJson, false);
    if (!ticket.accounts.empty())
        document["accounts"] = objectsToJson(ticket.accounts, accountToJson, false);
    if (ticket.limits)
        document["limits"] = limitsToJson(*ticket.limits);
    if (!ticket.removals.empty())
        document["remove"] = ticket.removals;
    return document;
}

leaf::result<Ticket> parseTicket(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    return readTicket(document, DocumentSource::Operator);
}

Result<Ticket> decodeTicket(std::string_view text)
{
    return ticketResult([&] { return parseTicket(text); });
}

Result<Ticket> decodeStoredTicket(const json& document)
{
    return ticketResult([&] { return readTicket(document, DocumentSource::Stored); });
}

Digest contentDigestOf(const Ticket& ticket)
{
    return digestOf(ticketToJson(ticket).dump());
}

std::string joinFaults(const std::vector<TicketFault>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "; ") + fault.object + ": " + fault.fault;
    return text;
}

} // namespace chestnut
