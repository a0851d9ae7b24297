#include "control/fleet/EngineNotice.h"

#include "control/tickets/ConfigurationCodec.h"

namespace chestnut {

namespace {

    using nlohmann::json;

    /** Throws json::exception when a field is missing or mistyped. */
    EngineRole readRole(const json& object)
    {
        return engineRoleFromName(object.at("role").get<std::string>()).value_or(EngineRole::Mixed);
    }

    DesiredEngine readDesired(const json& object)
    {
        return { object.at("revision"), object.at("set_by"), readRole(object), ModelId(object.at("model").get<std::string>()),
            object.at("version"), object.at("adapters").get<std::vector<std::string>>() };
    }

} // namespace

json desiredToJson(const DesiredEngine& desired)
{
    return { { "revision", desired.revision }, { "set_by", desired.setBy }, { "role", nameOf(desired.role) }, { "model", desired.model.value() },
        { "version", desired.version }, { "adapters", desired.adapters } };
}

json noticeToJson(const EngineNotice& notice)
{
    return { { "engine", notice.engine.value() }, { "away", notice.isUnavailable }, { "role", nameOf(notice.role) },
        { "fencing_number", notice.fencingNumber }, { "counter", notice.counter } };
}

Result<EngineNotice> noticeFromJson(const json& object)
{
    try {
        return EngineNotice { EngineId(object.at("engine").get<std::string>()), object.at("away"), readRole(object), object.at("fencing_number"), object.at("counter") };
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

std::string encodeIntent(const OrderIntent& intent)
{
    return json { { "holder", intent.holder }, { "group", intent.group.value() }, { "fencing_number", intent.fencingNumber },
        { "sequence", intent.sequence }, { "desired", desiredToJson(intent.desired) } }
        .dump();
}

Result<OrderIntent> decodeIntent(const std::string& text)
{
    try {
        auto object = json::parse(text);
        return OrderIntent { object.at("holder"), EngineGroupId(object.at("group").get<std::string>()), object.at("fencing_number"),
            object.at("sequence"), readDesired(object.at("desired")) };
    } catch (const json::exception& exception) {
        return makeError(ErrorKind::ProtocolError, exception.what());
    }
}

} // namespace chestnut
