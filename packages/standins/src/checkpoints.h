#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace poplardeal::detail {

/// Progress that survives the end of a task, in milliseconds of declared run time.
class checkpoints {
public:
    explicit checkpoints(std::string folder)
        : m_folder(std::move(folder))
    {
    }

    void save(const std::string& taskId, std::int64_t progress)
    {
        const auto key = keyOf(taskId);
        m_progress[key] = progress;
        if (m_folder.empty())
            return;
        const auto path = std::filesystem::path(m_folder) / key;
        std::ofstream(path.string() + ".new") << progress;
        std::error_code error;
        std::filesystem::rename(path.string() + ".new", path, error);
    }

    std::int64_t load(const std::string& taskId) const
    {
        const auto key = keyOf(taskId);
        std::int64_t progress = 0;
        if (!m_folder.empty() && std::ifstream(std::filesystem::path(m_folder) / key) >> progress)
            return progress;
        const auto found = m_progress.find(key);
        return found == m_progress.end() ? 0 : found->second;
    }

private:
    /// "JOB.INDEX": a later attempt of a task resumes from the checkpoint of an earlier one.
    static std::string keyOf(const std::string& taskId)
    {
        const auto afterJob = taskId.find('.');
        return afterJob == std::string::npos ? taskId : taskId.substr(0, taskId.find('.', afterJob + 1));
    }

    std::string m_folder;
    std::map<std::string, std::int64_t> m_progress;
};

} // namespace poplardeal::detail
