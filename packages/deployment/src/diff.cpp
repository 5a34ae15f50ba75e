#include "text.h"

#include <algorithm>
#include <map>
#include <poplardeal/deployment/diff.h>
#include <utility>

namespace poplardeal {
namespace detail {

    using field = std::pair<std::string, std::string>;

    /// One entry of a deployment in text form. Two deployments are equal exactly if their items are.
    struct item {
        std::string subject;
        std::vector<field> fields;
    };

    static std::string text(std::int64_t value) { return std::to_string(value); }
    template <class Tag> static std::string text(quantity<Tag> value) { return std::to_string(value.count()); }

    static void addResources(std::vector<field>& fields, const resources& amount)
    {
        fields.emplace_back("cores", text(amount.cpu));
        fields.emplace_back("memory_mib", text(amount.memory));
        fields.emplace_back("accelerators", text(amount.accelerator));
    }

    /// Collects the items of a deployment. Entries without a name of their own are numbered where they are alike.
    class item_list {
    public:
        explicit item_list(const deployment& plan)
        {
            add("deployment", { { "name", plan.name } });
            for (const auto& region : plan.regions)
                add("region " + quoted(region.name.value()), {});
            for (const auto& dataCentre : plan.dataCentres)
                add("data centre " + quoted(dataCentre.name.value()),
                    { { "region", dataCentre.region.value() },
                        { "in_service", dataCentre.inService ? "true" : "false" } });
            for (const auto& pool : plan.workerPools)
                addPool(pool);
            for (const auto& window : plan.breaks)
                add("break at " + clockText(window.start), { { "minutes", text(window.length.count()) } });
            for (const auto& workspace : plan.workspaces)
                addWorkspace(workspace);
            for (const auto& service : plan.services)
                add("service " + quoted(service.name.value()),
                    { { "workspace", service.workspace.value() }, { "slots", text(service.slots) },
                        { "connections", text(service.connections) } });
        }

        const std::vector<item>& items() const { return m_items; }

        const item* find(const std::string& subject) const
        {
            const auto found = m_index.find(subject);
            return found == m_index.end() ? nullptr : &m_items[found->second];
        }

    private:
        void add(const std::string& subject, std::vector<field> fields)
        {
            const auto number = ++m_occurrences[subject];
            auto unique = number == 1 ? subject : subject + " #" + std::to_string(number);
            m_index.emplace(unique, m_items.size());
            m_items.push_back({ std::move(unique), std::move(fields) });
        }

        void addPool(const worker_pool& pool)
        {
            std::vector<field> fields { { "workers", text(pool.workers) } };
            addResources(fields, pool.perWorker);
            add("worker pool of rack " + quoted(pool.rack.value()) + " in " + quoted(pool.dataCentre.value()), fields);
        }

        void addWorkspace(const workspace& workspace)
        {
            const auto subject = "workspace " + quoted(workspace.name.value());
            std::vector<field> quota;
            addResources(quota, workspace.quota);
            add(subject, quota);
            for (const auto& shape : workspace.guarantees)
                add(subject + " guarantee " + text(shape.blocks) + " x " + text(shape.blockAccelerators) + " within "
                        + std::string(toString(shape.within)),
                    { { "count", text(shape.count) } });
            for (const auto& job : workspace.jobs)
                addJob(subject, job);
        }

        void addJob(const std::string& workspaceSubject, const job_template& job)
        {
            std::vector<field> fields { { "tasks", text(job.tasks) } };
            addResources(fields, job.perTask);
            fields.emplace_back("within", toString(job.within));
            fields.emplace_back("priority", toString(job.priority));
            fields.emplace_back("run_time_us", text(job.runTime.count()));
            fields.emplace_back("max_restarts", text(job.maxRestarts));
            fields.emplace_back("command", tomlString(job.command));
            add(workspaceSubject + " job " + quoted(job.name.value()), std::move(fields));
        }

        std::vector<item> m_items;
        std::map<std::string, std::size_t> m_index;
        std::map<std::string, std::size_t> m_occurrences;
    };

    static std::string fieldsText(const item& entry)
    {
        std::string out;
        for (const auto& [key, value] : entry.fields)
            out.append(out.empty() ? "" : ", ").append(key).append(" ").append(value);
        return out;
    }

    static void compareFields(const item& before, const item& after, std::vector<deployment_change>& changes)
    {
        for (std::size_t i = 0; i < before.fields.size(); ++i) {
            const auto& [key, old] = before.fields[i];
            const auto& [afterKey, now] = after.fields[i];
            if (old != now)
                changes.push_back({ change_kind::changed, before.subject, key, old, now });
        }
    }

    /// The subjects of one list that the other one has too, in order.
    static std::vector<std::string> commonSubjects(const item_list& list, const item_list& other)
    {
        std::vector<std::string> common;
        for (const auto& entry : list.items()) {
            if (other.find(entry.subject))
                common.push_back(entry.subject);
        }
        return common;
    }

} // namespace detail

std::string_view toString(change_kind kind)
{
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "changed";
}

std::string toString(const deployment_change& change)
{
    auto out = std::string(toString(change.kind)) + " " + change.subject;
    if (change.kind == change_kind::changed)
        return out + ": " + change.field + " " + change.before + " -> " + change.after;
    const auto& values = change.kind == change_kind::added ? change.after : change.before;
    return values.empty() ? out : out + " (" + values + ")";
}

std::vector<deployment_change> difference(const deployment& before, const deployment& after)
{
    const detail::item_list old(before);
    const detail::item_list now(after);
    std::vector<deployment_change> changes;
    for (const auto& entry : old.items()) {
        if (const auto* counterpart = now.find(entry.subject))
            detail::compareFields(entry, *counterpart, changes);
        else
            changes.push_back({ change_kind::removed, entry.subject, "", detail::fieldsText(entry), "" });
    }
    for (const auto& entry : now.items()) {
        if (!old.find(entry.subject))
            changes.push_back({ change_kind::added, entry.subject, "", "", detail::fieldsText(entry) });
    }
    const auto oldOrder = detail::commonSubjects(old, now);
    const auto newOrder = detail::commonSubjects(now, old);
    const auto moved = std::mismatch(oldOrder.begin(), oldOrder.end(), newOrder.begin(), newOrder.end());
    if (moved.first != oldOrder.end())
        changes.push_back({ change_kind::changed, "deployment", "order of entries", *moved.first, *moved.second });
    return changes;
}

} // namespace poplardeal
