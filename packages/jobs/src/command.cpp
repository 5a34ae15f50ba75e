#include <poplardeal/base/compression.h>
#include <poplardeal/jobs/codec.h>
#include <poplardeal/jobs/command.h>

namespace poplardeal {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(accept_plan, plan)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(set_data_centre, dataCentre, inService)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(accept_submission, id, queue, workspace, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_submission, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_start, task, run, worker, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_tasks, starts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(record_ends, worker, ends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(released_run, task, run, saved)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(release_runs, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(record_begins, jobs)

/// Commands from this size on are compressed. Only plans are that large; they repeat their field names and texts.
static constexpr std::size_t compressionThreshold = std::size_t { 16 } * 1024;

std::string encodeCommand(const job_command& command)
{
    nlohmann::json record;
    record["at"] = command.at;
    record["kind"] = command.body.index();
    std::visit([&record](const auto& body) { record["body"] = body; }, command.body);
    auto out = toCbor(record);
    return out.size() < compressionThreshold ? out : compress(out);
}

template <std::size_t Index = 0> static job_command_body decodeBody(std::size_t kind, const nlohmann::json& body)
{
    if constexpr (Index < std::variant_size_v<job_command_body>) {
        if (kind == Index)
            return body.get<std::variant_alternative_t<Index, job_command_body>>();
        return decodeBody<Index + 1>(kind, body);
    } else {
        throw std::out_of_range("unknown command kind " + std::to_string(kind));
    }
}

result<job_command> decodeCommand(std::string_view bytes)
{
    std::string content;
    if (isCompressed(bytes)) {
        BOOST_OUTCOME_TRY(decompressed, decompress(bytes, maxCommandBytes));
        content = std::move(decompressed);
        bytes = content;
    }
    try {
        const auto record = fromCbor<nlohmann::json>(bytes);
        job_command out;
        out.at = record.at("at").get<instant>();
        out.body = decodeBody(record.at("kind").get<std::size_t>(), record.at("body"));
        return out;
    } catch (const std::exception& error) {
        return failure { failure_code::corrupt, std::string("job command: ") + error.what() };
    }
}

} // namespace poplardeal
