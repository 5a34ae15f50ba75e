#include "text.h"

#include <poplardeal/deployment/toml.h>
#include <sstream>

namespace poplardeal {
namespace detail {

    class deployment_printer {
    public:
        explicit deployment_printer(const deployment& plan)
            : m_plan(plan)
        {
        }

        std::string print()
        {
            value("format", 1);
            value("name", m_plan.name);
            printPlaces();
            printBreaks();
            for (const auto& workspace : m_plan.workspaces)
                printWorkspace(workspace);
            printServices();
            return m_out.str();
        }

    private:
        void header(std::string_view name) { m_out << "\n[[" << name << "]]\n"; }
        void value(std::string_view key, std::int64_t number) { m_out << key << " = " << number << "\n"; }
        void value(std::string_view key, std::string_view text) { m_out << key << " = " << tomlString(text) << "\n"; }

        static std::pair<std::string, std::int64_t> memoryValue(mebibytes memory)
        {
            constexpr std::int64_t mibPerGib = 1024;
            if (memory.count() % mibPerGib == 0)
                return { "memory_gib", memory.count() / mibPerGib };
            return { "memory_mib", memory.count() };
        }

        void values(const resources& amount)
        {
            value("cores", amount.cpu.count());
            const auto [key, number] = memoryValue(amount.memory);
            value(key, number);
            value("accelerators", amount.accelerator.count());
        }

        void printPlaces()
        {
            for (const auto& region : m_plan.regions) {
                header("region");
                value("name", region.name.value());
            }
            for (const auto& dataCentre : m_plan.dataCentres) {
                header("data_centre");
                value("name", dataCentre.name.value());
                value("region", dataCentre.region.value());
                m_out << "in_service = " << (dataCentre.inService ? "true" : "false") << "\n";
            }
            for (const auto& pool : m_plan.workerPools) {
                header("worker_pool");
                value("data_centre", pool.dataCentre.value());
                value("rack", pool.rack.value());
                value("workers", pool.workers);
                values(pool.perWorker);
            }
        }

        void printBreaks()
        {
            for (const auto& window : m_plan.breaks) {
                header("break");
                value("start", clockText(window.start));
                value("minutes", window.length.count());
            }
        }

        void printWorkspace(const workspace& workspace)
        {
            header("workspace");
            value("name", workspace.name.value());
            const auto [key, memory] = memoryValue(workspace.quota.memory);
            m_out << "quota = { cores = " << workspace.quota.cpu << ", " << key << " = " << memory
                  << ", accelerators = " << workspace.quota.accelerator << " }\n";
            for (const auto& shape : workspace.guarantees) {
                header("workspace.guarantee");
                value("blocks", shape.blocks);
                value("block_accelerators", shape.blockAccelerators.count());
                value("within", toString(shape.within));
                value("count", shape.count);
            }
            for (const auto& job : workspace.jobs)
                printJob(job);
        }

        void printJob(const job_template& job)
        {
            header("workspace.job");
            value("name", job.name.value());
            value("tasks", job.tasks);
            values(job.perTask);
            value("within", toString(job.within));
            value("priority", toString(job.priority));
            const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(job.runTime).count();
            if (milliseconds % 1000 == 0)
                value("run_time_s", milliseconds / 1000);
            else
                value("run_time_ms", milliseconds);
            value("max_restarts", job.maxRestarts);
            value("command", job.command);
        }

        void printServices()
        {
            for (const auto& service : m_plan.services) {
                header("service");
                value("name", service.name.value());
                value("workspace", service.workspace.value());
                value("slots", service.slots);
                value("connections", service.connections);
            }
        }

        const deployment& m_plan;
        std::ostringstream m_out;
    };

} // namespace detail

std::string printDeployment(const deployment& plan) { return detail::deployment_printer(plan).print(); }

} // namespace poplardeal
