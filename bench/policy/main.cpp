#include "bench/policy/scenario.h"

#include <tclap/CmdLine.h>

#include <cstdio>

/** Prints the tables of docs/MEASUREMENTS.md, section "policy". */
int main(int argc, char** argv) {
    using namespace berylcrank;
    try {
        TCLAP::CmdLine line("Compares routing policies in a deterministic simulation of a pool.");
        std::vector<std::string> names{"steady",        "disturbances", "probing", "overload",
                                       "amplification", "breaker",      "suspects"};
        TCLAP::ValuesConstraint<std::string> allowed(names);
        const TCLAP::UnlabeledValueArg<std::string> table("table", "Table to print", true, "", &allowed,
                                                          line);
        const TCLAP::ValueArg<unsigned> seeds("", "seeds", "Number of runs per policy, with seeds 1 to N",
                                              false, 5, "N", line);
        const TCLAP::ValueArg<unsigned> seconds("", "seconds", "Measured time per run in simulated seconds",
                                                false, 60, "s", line);
        const TCLAP::ValueArg<unsigned> threads("", "threads", "Number of concurrent runs", false, 4, "N",
                                                line);
        const TCLAP::SwitchArg is_short("", "short", "Print only one size and load of the steady table",
                                        line);
        line.parse(argc, argv);
        const bench::bench_options options{.seeds = seeds.getValue(),
                                           .duration = millis{1000} * seconds.getValue(),
                                           .threads = threads.getValue(),
                                           .is_short = is_short.getValue()};
        const auto run = [&](const char* name, void (*report)(const bench::bench_options&)) {
            if (table.getValue() == name) {
                report(options);
            }
        };
        run("steady", bench::report_steady);
        run("disturbances", bench::report_disturbances);
        run("probing", bench::report_probing);
        run("overload", bench::report_overload);
        run("amplification", bench::report_amplification);
        run("breaker", bench::report_breaker);
        run("suspects", bench::report_suspects);
    } catch (const std::exception& error) { // Not for invalid arguments: `parse` reports them and exits.
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
    return 0;
}
