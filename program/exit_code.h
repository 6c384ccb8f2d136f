#pragma once

namespace berylcrank {

/** Exit codes of the `berylcrank` program, the same for every subcommand. */
enum class exit_code : int {
    ok = 0,
    failed = 1,      ///< The work was done and the answer is no, e.g. a ticket was rejected.
    usage = 2,       ///< The command line could not be read.
    bad_input = 3,   ///< A settings or ticket file has errors; nothing was started or published.
    unreachable = 4, ///< The log service, the VM list or a node could not be reached.
    unclear = 5,     ///< It is not known whether a ticket was published; publishing it again is safe.
};

} // namespace berylcrank
