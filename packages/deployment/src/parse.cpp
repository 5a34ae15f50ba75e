#include "table_reader.h"
#include "text.h"

#include <poplardeal/deployment/limits.h>
#include <poplardeal/deployment/toml.h>
#include <set>
#include <unordered_map>

namespace poplardeal {
namespace detail {

    static constexpr std::string_view shapeScopes[] = { "worker", "rack", "data-centre" };
    static constexpr std::string_view jobScopes[] = { "worker", "rack", "data-centre", "anywhere" };
    static constexpr std::string_view priorities[] = { "urgent", "guaranteed", "borrowed" };

    static constexpr integer_range workerCores { 1, limits::workerCores };
    static constexpr integer_range workerMemoryMib { 1, limits::workerMemoryMib };
    static constexpr integer_range workerAccelerators { 0, limits::workerAccelerators };

    /// Names that were defined so far. A doubled name is refused.
    class name_set {
    public:
        explicit name_set(std::string kind)
            : m_kind(std::move(kind))
        {
        }

        void define(table_reader& table, const std::string& name)
        {
            if (!m_names.insert(name).second)
                table.refuse("name", "a second " + m_kind + " is named " + quoted(name));
        }

        void require(table_reader& table, std::string_view key, const std::string& name) const
        {
            if (!m_names.contains(name))
                table.refuse(key, "there is no " + m_kind + " named " + quoted(name));
        }

    private:
        std::string m_kind;
        std::set<std::string> m_names;
    };

    static mebibytes readMemory(table_reader& table, integer_range mib)
    {
        constexpr std::int64_t mibPerGib = 1024;
        if (table.has("memory_gib") && table.has("memory_mib"))
            table.refuse("memory_mib", "give either memory_gib or memory_mib");
        if (table.has("memory_mib"))
            return mebibytes(table.integer("memory_mib", mib));
        const integer_range gib { (mib.low + mibPerGib - 1) / mibPerGib, mib.high / mibPerGib };
        return mebibytes(table.integer("memory_gib", gib) * mibPerGib);
    }

    static duration readRunTime(table_reader& table)
    {
        constexpr std::int64_t msPerSecond = 1000;
        if (table.has("run_time_s") && table.has("run_time_ms"))
            table.refuse("run_time_ms", "give either run_time_s or run_time_ms");
        if (table.has("run_time_ms"))
            return std::chrono::milliseconds(table.integer("run_time_ms", { 0, limits::runTimeMs }));
        return std::chrono::seconds(table.integer("run_time_s", { 0, limits::runTimeMs / msPerSecond }));
    }

    /// Reads the parts of a deployment in an order in which each name is defined before it is referred to.
    class deployment_reader {
    public:
        deployment_reader(parse_context& context, const toml::table& root)
            : m_context(context)
            , m_root(context, root, "",
                  { "format", "name", "region", "data_centre", "worker_pool", "break", "workspace", "service" })
        {
        }

        deployment read()
        {
            m_root.integer("format", { 1, 1 });
            m_plan.name = m_root.name("name");
            for (const auto& [table, path] : m_root.tables("region", limits::regions))
                readRegion({ m_context, *table, path, { "name" } });
            for (const auto& [table, path] : m_root.tables("data_centre", limits::dataCentres))
                readDataCentre({ m_context, *table, path, { "name", "region", "in_service" } });
            for (const auto& [table, path] : m_root.tables("worker_pool", limits::workerPools))
                readWorkerPool({ m_context, *table, path,
                    { "data_centre", "rack", "workers", "cores", "memory_gib", "memory_mib", "accelerators" } });
            for (const auto& [table, path] : m_root.tables("break", limits::breaks))
                readBreak({ m_context, *table, path, { "start", "minutes" } });
            for (const auto& [table, path] : m_root.tables("workspace", limits::workspaces))
                readWorkspace({ m_context, *table, path, { "name", "quota", "guarantee", "job" } });
            for (const auto& [table, path] : m_root.tables("service", limits::services))
                readService({ m_context, *table, path, { "name", "workspace", "slots", "connections" } });
            return std::move(m_plan);
        }

    private:
        void readRegion(table_reader table)
        {
            const auto name = table.name("name");
            m_regions.define(table, name);
            m_plan.regions.push_back({ region_name(name) });
        }

        void readDataCentre(table_reader table)
        {
            data_centre read;
            read.name = data_centre_name(table.name("name"));
            read.region = region_name(table.name("region"));
            read.inService = table.booleanOr("in_service", true);
            m_dataCentres.define(table, read.name.value());
            m_regions.require(table, "region", read.region.value());
            m_plan.dataCentres.push_back(std::move(read));
        }

        void readWorkerPool(table_reader table)
        {
            worker_pool read;
            read.dataCentre = data_centre_name(table.name("data_centre"));
            read.rack = rack_name(table.name("rack"));
            read.workers = table.integer("workers", { 1, limits::workersPerPool });
            read.perWorker.cpu = cores(table.integer("cores", workerCores));
            read.perWorker.memory = readMemory(table, workerMemoryMib);
            read.perWorker.accelerator = accelerators(table.integer("accelerators", workerAccelerators));
            m_dataCentres.require(table, "data_centre", read.dataCentre.value());
            const auto owner = m_rackOwners.try_emplace(read.rack.value(), read.dataCentre.value()).first->second;
            if (owner != read.dataCentre.value())
                table.refuse(
                    "rack", "rack " + quoted(read.rack.value()) + " is already in data centre " + quoted(owner));
            m_plan.workerPools.push_back(std::move(read));
        }

        void readBreak(table_reader table)
        {
            change_window read;
            read.start = readClock(table);
            read.length = std::chrono::minutes(table.integer("minutes", { 1, limits::breakMinutes }));
            m_plan.breaks.push_back(read);
        }

        static std::chrono::minutes readClock(table_reader& table)
        {
            const auto text = table.text("start", limits::nameBytes);
            const auto digit = [&](std::size_t i) { return text[i] >= '0' && text[i] <= '9' ? text[i] - '0' : 99; };
            if (text.size() == 5 && text[2] == ':') {
                const int hours = digit(0) * 10 + digit(1);
                const int minutes = digit(3) * 10 + digit(4);
                if (hours < 24 && minutes < 60)
                    return std::chrono::hours(hours) + std::chrono::minutes(minutes);
            }
            table.refuse("start", "must be a time of day in UTC such as \"05:30\"");
            return std::chrono::minutes(0);
        }

        void readWorkspace(table_reader table)
        {
            workspace read;
            read.name = workspace_name(table.name("name"));
            m_workspaces.define(table, read.name.value());
            read.quota = readQuota(table);
            for (const auto& [inner, path] : table.tables("guarantee", limits::guaranteesPerWorkspace)) {
                table_reader shape(m_context, *inner, path, { "blocks", "block_accelerators", "within", "count" });
                read.guarantees.push_back(readGuarantee(shape));
            }
            refuseGuaranteesOverQuota(table, read);
            name_set names("job of this workspace");
            for (const auto& [inner, path] : table.tables("job", limits::jobsPerWorkspace)) {
                table_reader job(m_context, *inner, path,
                    { "name", "tasks", "cores", "memory_gib", "memory_mib", "accelerators", "within", "priority",
                        "run_time_s", "run_time_ms", "max_restarts", "command" });
                read.jobs.push_back(readJob(job));
                names.define(job, read.jobs.back().name.value());
            }
            m_plan.workspaces.push_back(std::move(read));
        }

        resources readQuota(table_reader& workspaceTable)
        {
            const auto* inner = workspaceTable.table("quota");
            if (!inner)
                return {};
            table_reader quota(
                m_context, *inner, "workspace.quota", { "cores", "memory_gib", "memory_mib", "accelerators" });
            resources read;
            read.cpu = cores(quota.integer("cores", { 0, limits::quotaCores }));
            read.memory = readMemory(quota, { 0, limits::quotaMemoryMib });
            read.accelerator = accelerators(quota.integer("accelerators", { 0, limits::quotaAccelerators }));
            return read;
        }

        static guaranteed_shape readGuarantee(table_reader& table)
        {
            guaranteed_shape read;
            read.blocks = table.integer("blocks", { 1, limits::blocks });
            const auto block = table.integer("block_accelerators", { 1, limits::workerAccelerators });
            if ((block & (block - 1)) != 0)
                table.refuse("block_accelerators", "must be a power of two, as blocks are halves of larger blocks");
            read.blockAccelerators = accelerators(block);
            read.within = static_cast<scope>(table.choice("within", shapeScopes));
            read.count = table.integerOr("count", { 1, limits::shapeCount }, 1);
            return read;
        }

        static void refuseGuaranteesOverQuota(table_reader& table, const workspace& owner)
        {
            std::int64_t guaranteed = 0;
            for (const auto& shape : owner.guarantees)
                guaranteed += shape.blocks * shape.blockAccelerators.count() * shape.count;
            const auto quota = owner.quota.accelerator.count();
            if (guaranteed > quota)
                table.refuse("guarantee",
                    "the guarantees hold " + std::to_string(guaranteed) + " accelerators, the quota only "
                        + std::to_string(quota));
        }

        static job_template readJob(table_reader& table)
        {
            job_template read;
            read.name = job_name(table.name("name"));
            read.tasks = table.integerOr("tasks", { 1, limits::tasks }, 1);
            read.perTask.cpu = cores(table.integer("cores", { 0, limits::workerCores }));
            read.perTask.memory = readMemory(table, { 0, limits::workerMemoryMib });
            read.perTask.accelerator = accelerators(table.integerOr("accelerators", workerAccelerators, 0));
            if (table.has("within"))
                read.within = static_cast<scope>(table.choice("within", jobScopes));
            if (table.has("priority"))
                read.priority = static_cast<job_priority>(table.choice("priority", priorities));
            read.runTime = readRunTime(table);
            read.maxRestarts = table.integerOr("max_restarts", { 0, limits::restarts }, read.maxRestarts);
            read.command = table.text("command", limits::commandBytes);
            return read;
        }

        void readService(table_reader table)
        {
            service read;
            read.name = service_name(table.name("name"));
            read.workspace = workspace_name(table.name("workspace"));
            read.slots = table.integerOr("slots", { 1, limits::slots }, read.slots);
            read.connections = table.integerOr("connections", { 1, limits::connections }, read.connections);
            m_services.define(table, read.name.value());
            m_workspaces.require(table, "workspace", read.workspace.value());
            m_plan.services.push_back(std::move(read));
        }

        parse_context& m_context;
        table_reader m_root;
        deployment m_plan;
        name_set m_regions { "region" };
        name_set m_dataCentres { "data centre" };
        name_set m_workspaces { "workspace" };
        name_set m_services { "service" };
        std::unordered_map<std::string, std::string> m_rackOwners;
    };

} // namespace detail

result<deployment> parseDeployment(std::string_view toml, std::string_view source)
{
    detail::parse_context context { std::string(source), std::nullopt };
    if (toml.size() > limits::deploymentBytes) {
        context.refuse({ 1, 1 }, "deployment",
            std::to_string(toml.size()) + " bytes; at most " + std::to_string(limits::deploymentBytes)
                + " are allowed");
        return *context.fault;
    }
    try {
        const auto root = ::toml::parse(toml);
        auto read = detail::deployment_reader(context, root).read();
        if (context.fault)
            return *context.fault;
        return read;
    } catch (const ::toml::parse_error& error) {
        context.refuse(error.source().begin, "TOML syntax", std::string(error.description()));
        return *context.fault;
    }
}

} // namespace poplardeal
