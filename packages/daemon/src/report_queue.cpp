#include "report_queue.h"

namespace poplardeal::detail {

report_queue::report_queue(std::string worker, incarnation instance)
    : m_worker(std::move(worker))
    , m_instance(instance)
{
}

void report_queue::add(const leased_task& id, message::report_kind kind, std::string text)
{
    message::task_reportT report;
    report.worker = m_worker;
    report.incarnation = m_instance.value();
    report.job = id.task.job.value();
    report.index = id.task.index;
    report.attempt = id.task.attempt;
    report.lease = id.lease.value();
    report.kind = kind;
    report.detail = std::move(text);
    const auto correlation = ++m_lastCorrelation;
    m_waiting[correlation] = { id, packMessage(frame_kind::task_report, correlation, report), std::nullopt };
}

std::vector<frame> report_queue::takeDue(instant now)
{
    std::vector<frame> due;
    for (auto& [correlation, waiting] : m_waiting) {
        if (waiting.sentAt && now - *waiting.sentAt < repeatInterval)
            continue;
        if (due.size() == maxPerRound)
            break;
        waiting.sentAt = now;
        due.push_back(waiting.message);
    }
    return due;
}

void report_queue::resendAll()
{
    for (auto& [correlation, waiting] : m_waiting)
        waiting.sentAt.reset();
}

std::optional<leased_task> report_queue::acknowledge(std::uint64_t correlation)
{
    const auto found = m_waiting.find(correlation);
    if (found == m_waiting.end())
        return std::nullopt;
    const auto task = found->second.task;
    m_waiting.erase(found);
    return task;
}

} // namespace poplardeal::detail
