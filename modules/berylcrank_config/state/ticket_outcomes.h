#pragma once

#include "modules/berylcrank_config/state/coverage.h"

#include "absl/container/btree_map.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank {

/** What became of one ticket. The first record with a number decides it. @see ticket_outcomes */
struct ticket_outcome {
    std::uint64_t number{0};
    std::uint64_t offset{0}; ///< Where the ticket is on the log.
    std::uint64_t digest{0}; ///< Content digest of the ticket.
    bool accepted{false};
    std::string reason; ///< Why it was rejected; empty if accepted.

    bool operator==(const ticket_outcome&) const = default;
};

/** Outcomes of the highest ticket numbers. Numbers up to the floor are forgotten and can never be used again.

    A number has more than one outcome if records with other content used it; all but the first are
   rejections.
*/
class ticket_outcomes {
public:
    explicit ticket_outcomes(std::size_t kept_numbers) : kept_numbers_(kept_numbers) {}

    /** Outcomes of a number, lowest offset first; empty if it is unknown. */
    [[nodiscard]] std::vector<ticket_outcome> find(std::uint64_t number) const;

    /** Adds an outcome unless it is at or below the floor, and forgets the lowest numbers above the limit. */
    void add(const ticket_outcome& it);

    /** Joins with other outcomes, without those that one side certainly decided otherwise. */
    void merge(const ticket_outcomes& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Raises the floor. */
    void raise_floor(std::uint64_t floor);

    /** Tickets with numbers up to this one are rejected. */
    [[nodiscard]] std::uint64_t floor() const { return floor_; }

    /** Up to `limit` outcomes, highest numbers first. */
    [[nodiscard]] std::vector<ticket_outcome> recent(std::size_t limit) const;

    /** Outcomes of records from offset `from` on. */
    [[nodiscard]] std::vector<ticket_outcome> since(std::uint64_t from) const;

    /** Order-independent hash over outcomes and floor. */
    [[nodiscard]] std::uint64_t digest() const { return digest_ + floor_; }

private:
    [[nodiscard]] bool contains(const ticket_outcome& it) const;
    void insert(const ticket_outcome& it);
    void trim();

    std::size_t kept_numbers_;
    absl::btree_map<std::uint64_t, std::vector<ticket_outcome>> by_number_;
    std::uint64_t floor_{0};
    std::uint64_t digest_{0};
};

} // namespace berylcrank
