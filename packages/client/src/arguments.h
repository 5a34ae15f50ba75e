#pragma once

#include <cstdint>
#include <iosfwd>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/time.h>
#include <poplardeal/client/client.h>
#include <poplardeal/wire/address.h>
#include <poplardeal/wire/event_loop.h>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal::detail {

/// All options of all verbs. A verb reads those that it lists.
struct options {
    std::vector<address> control;
    std::vector<address> entry;
    duration timeout { 0 };
    bool json { false };
    std::string operatorName;
    std::int64_t base { -1 }; ///< -1: the version in force.
    std::string orderId; ///< Never empty; random unless given.
    std::int64_t version { 0 }; ///< 0: the version in force.
    bool wait { false };
    bool watch { false };
    std::string method;
    std::string data;
    std::string key;
    bool nonIdempotent { false };
    std::string job;
    std::string request;
    std::string dataCentre;
    std::string chrome;
    std::string html;
};

/// One run of a verb.
struct invocation {
    options flags;
    std::vector<std::string> operands;
    std::ostream& out;
    std::ostream& err;
    event_loop& loop;
};

/// A verb of the command line. `flags` are the names of the options it takes.
struct verb {
    std::string_view name;
    std::string_view operands;
    std::string_view summary;
    std::string_view example;
    std::vector<std::string_view> flags;
    std::size_t minOperands;
    std::size_t maxOperands;
    exit_code (*run)(invocation&);
};

/// The words of a command line after the verb.
struct parsed_arguments {
    options flags;
    std::vector<std::string> operands;
    bool wantsHelp { false };
};

/// Reads the words after the verb. `invalid_argument` names the word and what to do.
result<parsed_arguments> parseArguments(const verb&, const std::vector<std::string>& words);

/// Help of one verb: usage, options and an example.
std::string helpText(const verb&);

} // namespace poplardeal::detail
