#include "claims/log/ClaimCodec.h"

#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr size_t halfBytes = sizeof(uint64_t);

    json digestToJson(const Digest& digest)
    {
        std::vector<uint8_t> bytes;
        for (auto half : { digest.high, digest.low }) {
            for (size_t i = 0; i < halfBytes; ++i)
                bytes.push_back(static_cast<uint8_t>(half >> (8 * (halfBytes - 1 - i))));
        }
        return json::binary(std::move(bytes));
    }

    uint64_t halfOf(const std::vector<uint8_t>& bytes, size_t offset)
    {
        uint64_t half = 0;
        for (size_t i = 0; i < halfBytes; ++i)
            half = half << 8 | bytes[offset + i];
        return half;
    }

    Digest digestFromJson(const json& value)
    {
        if (!value.is_binary() || value.get_binary().size() != 2 * halfBytes)
            throw std::invalid_argument("a digest must have 16 bytes");
        const std::vector<uint8_t>& bytes = value.get_binary();
        return { halfOf(bytes, 0), halfOf(bytes, halfBytes) };
    }

} // namespace

std::string claimRecordPrefix(ClaimEpoch epoch, unsigned shard)
{
    return "claims/" + std::to_string(epoch) + "/" + std::to_string(shard) + "/";
}

std::string claimRecordKey(const ClaimLogId& log, uint64_t number)
{
    char digits[21]; // 20 digits of the largest 64-bit number and a terminator
    // The service sorts keys as text; leading zeros make that the order of the records.
    std::snprintf(digits, sizeof(digits), "%010llu", static_cast<unsigned long long>(number));
    return claimRecordPrefix(log.epoch, log.shard) + std::to_string(log.slice) + "/" + digits;
}

std::string claimPagePrefix(const ClaimLogId& log, uint64_t page)
{
    static_assert(claimPageRecords == 1000);
    constexpr size_t digitsWithinPage = 3;
    auto first = claimRecordKey(log, page * claimPageRecords);
    first.resize(first.size() - digitsWithinPage);
    return first;
}

std::string claimTombstoneKey(ClaimEpoch epoch, unsigned shard)
{
    return "claims/closed/" + std::to_string(epoch) + "/" + std::to_string(shard);
}

json entryToJson(const ClaimEntry& entry)
{
    return json::array({ digestToJson(entry.id), digestToJson(entry.content), digestToJson(entry.nonce), entry.holder.value() });
}

ClaimEntry entryFromJson(const json& row)
{
    return { digestFromJson(row.at(0)), digestFromJson(row.at(1)), digestFromJson(row.at(2)), DaemonId(row.at(3).get<std::string>()) };
}

std::string encodeRecord(const ClaimRecord& record)
{
    auto entries = json::array();
    for (const auto& entry : record.entries)
        entries.push_back(entryToJson(entry));
    json document { { "v", 1 }, { "n", digestToJson(record.nonce) }, { "e", std::move(entries) } };
    auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

Result<ClaimRecord> decodeRecord(const std::string& bytes)
{
    try {
        auto document = json::from_cbor(bytes.begin(), bytes.end());
        if (document.at("v").get<int>() != 1)
            throw std::invalid_argument("unknown format version");
        ClaimRecord record;
        record.nonce = digestFromJson(document.at("n"));
        for (const auto& row : document.at("e"))
            record.entries.push_back(entryFromJson(row));
        return record;
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::ProtocolError, std::string("unreadable claim record: ") + exception.what());
    }
}

} // namespace chestnut
