#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/wire/channel.h>
#include <poplardeal/wire/event_loop.h>
#include <poplardeal/wire/message.h>
#include <set>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// The part of a deployment that the request path uses.
struct deployment_in_force {
    deployment_version version;
    std::set<data_centre_name> outOfService;
};

struct control_links_settings {
    std::vector<address> controls;
    message::helloT hello;
    std::uint64_t seed { 0 };
    duration answerTimeout { std::chrono::milliseconds(500) }; ///< After it, a claim goes to the next control.
    duration leaderRetry { std::chrono::milliseconds(50) }; ///< Pause before asking after a refusal.
    duration settleRetry { std::chrono::milliseconds(500) };
    std::size_t maxClaims { 4096 }; ///< Claims without answer. When full, further ones fail.
    std::size_t maxSettles { 10'000 }; ///< Settlements without acknowledgement. When full, the oldest is dropped.
};

/// Connections of an entry or an endpoint sidecar to all controls of its settings.
///
/// Takes deployment updates from each and keeps the highest version. Claims and settlements go to the leader, found by
/// asking one control after another.
class control_links {
public:
    control_links(event_loop&, control_links_settings);
    ~control_links();
    control_links(const control_links&) = delete;
    control_links& operator=(const control_links&) = delete;

    void onDeployment(std::function<void(const deployment_in_force&)>);
    void start();

    /// `done` is called once, never from within `claim`. `timed_out` if no leader has answered by the deadline: the
    /// claim may have been recorded.
    void claim(const message::claimT&, instant deadline, std::function<void(result<message::claim_answerT>)> done);
    /// Repeated until control acknowledges it.
    void settle(const message::settleT&);

    deployment_version version() const { return m_deployment.version; }
    std::size_t unsettled() const { return m_settles.size(); }
    std::uint64_t droppedSettles() const { return m_droppedSettles; }
    std::uint64_t bytesTransferred() const;

private:
    struct pending_claim {
        message::claimT claim;
        instant deadline;
        std::function<void(result<message::claim_answerT>)> done;
        std::size_t target { 0 };
        event_loop::timer timer;
    };
    struct pending_settle {
        std::uint64_t correlation { 0 };
        message::settleT settle;
        std::size_t target { 0 };
    };

    void addLink(const address&, std::uint64_t seed);
    void takeFrame(std::size_t link, const frame&);
    void takeDeployment(std::size_t link, const message::deployment_updateT&);
    void takeClaimAnswer(std::size_t link, std::uint64_t correlation, message::claim_answerT);
    void sendClaim(std::uint64_t correlation);
    void moveClaim(std::uint64_t correlation, std::size_t target, duration pause);
    void endClaim(std::uint64_t correlation, result<message::claim_answerT>);
    void sendSettles();
    std::size_t linkOf(const std::string& peer, std::size_t otherwise) const;

    event_loop& m_loop;
    control_links_settings m_settings;
    std::vector<std::unique_ptr<dialer>> m_links;
    std::function<void(const deployment_in_force&)> m_onDeployment;
    deployment_in_force m_deployment;
    std::size_t m_leader { 0 };
    std::uint64_t m_lastCorrelation { 0 };
    std::map<std::uint64_t, pending_claim> m_claims;
    std::list<pending_settle> m_settles;
    std::uint64_t m_droppedSettles { 0 };
    event_loop::timer m_settleTimer;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) }; ///< False once posted functions may not call back.
};

} // namespace poplardeal::detail
