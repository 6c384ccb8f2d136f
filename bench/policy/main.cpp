#include "bench/policy/scenario.h"

#include <tclap/CmdLine.h>

#include <cstdio>

/** Prints the tables of docs/MEASUREMENTS.md, part "policy". */
int main(int argc, char** argv) {
    using namespace berylcrank;
    try {
        TCLAP::CmdLine line("Compares routing policies on a deterministic fake pool.");
        std::vector<std::string> names{"steady",        "disturbances", "probing", "overload",
                                       "amplification", "breaker",      "suspects"};
        TCLAP::ValuesConstraint<std::string> allowed(names);
        const TCLAP::UnlabeledValueArg<std::string> part("part", "Table to print", true, "", &allowed, line);
        const TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs, with seeds 1 to N", false, 5, "N", line);
        const TCLAP::ValueArg<unsigned> seconds("", "seconds", "Simulated time of a run", false, 60, "s",
                                                line);
        const TCLAP::ValueArg<unsigned> threads("", "threads", "Runs at once", false, 4, "N", line);
        const TCLAP::SwitchArg brief("", "short", "One size and load only", line);
        line.parse(argc, argv);
        const bench::bench_options it{.seeds = seeds.getValue(),
                                      .duration = millis{1000} * seconds.getValue(),
                                      .threads = threads.getValue(),
                                      .is_short = brief.getValue()};
        const auto run = [&](const char* name, void (*report)(const bench::bench_options&)) {
            if (part.getValue() == name) {
                report(it);
            }
        };
        run("steady", bench::report_steady);
        run("disturbances", bench::report_disturbances);
        run("probing", bench::report_probing);
        run("overload", bench::report_overload);
        run("amplification", bench::report_amplification);
        run("breaker", bench::report_breaker);
        run("suspects", bench::report_suspects);
    } catch (const std::exception& it) { // TCLAP reports its own errors
        std::fprintf(stderr, "%s\n", it.what());
        return 2;
    }
    return 0;
}
