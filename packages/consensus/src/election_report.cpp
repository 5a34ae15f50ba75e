#include "election_report.h"
#include <algorithm>

namespace poplardeal::detail {

nlohmann::json electionFields(const failed_campaign& failed)
{
    const auto votersWith = [&](vote_reply reply) {
        auto ids = nlohmann::json::array();
        for (const auto& voter : failed.voters) {
            if (voter.reply == reply)
                ids.push_back(voter.id.value());
        }
        return ids;
    };
    nlohmann::json fields { { "round", failed.isPreVote ? "pre-vote" : "vote" }, { "term", failed.term },
        { "votes", failed.votes.granted }, { "quorum", failed.votes.quorum },
        { "granted", votersWith(vote_reply::granted) }, { "refused", votersWith(vote_reply::refused) },
        { "data_replaced", votersWith(vote_reply::data_replaced) }, { "silent", votersWith(vote_reply::silent) },
        { "last_index", failed.lastIndex } };
    if (failed.earlierVotes) {
        fields["votes_before"] = failed.earlierVotes->granted;
        fields["quorum_before"] = failed.earlierVotes->quorum;
    }
    if (!fields["refused"].empty()) {
        std::uint64_t newest = 0;
        for (const auto& voter : failed.voters)
            newest = std::max(newest, voter.lastIndex);
        fields["refused_last_index"] = newest;
    }
    return fields;
}

} // namespace poplardeal::detail
