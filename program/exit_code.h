#pragma once

namespace berylcrank {

/** Exit codes of the `berylcrank` program, common to all subcommands. */
enum class exit_code : int {
    ok = 0,
    failed = 1,          ///< Negative result or internal error, e.g. a node rejected the ticket.
    usage = 2,           ///< The command line is invalid.
    bad_input = 3,       ///< An input file has errors or cannot be read; nothing was started or published.
    unreachable = 4,     ///< The log service, the VM list or a node is unreachable.
    unknown_outcome = 5, ///< The ticket may have been published or not. Publishing it again is safe.
};

} // namespace berylcrank
