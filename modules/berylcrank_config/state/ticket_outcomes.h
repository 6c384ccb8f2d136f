#pragma once

#include "modules/berylcrank_config/state/coverage.h"

#include "absl/container/btree_map.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank {

/** Outcome of one ticket record. Only the first record with a number can be accepted. @see ticket_outcomes */
struct ticket_outcome {
    std::uint64_t number{0};
    std::uint64_t offset{0}; ///< Log offset of the ticket.
    std::uint64_t digest{0}; ///< Content digest of the ticket.
    bool accepted{false};
    /** Rejection reason; empty if accepted. Snapshots and deltas store this text and merges compare it, so
        nodes must produce the same text for the same rejection. */
    std::string reason;

    bool operator==(const ticket_outcome&) const = default;
};

/** Outcomes of the highest ticket numbers. Outcomes of numbers up to the floor are discarded, and these
    numbers cannot be used again.

    A number has several outcomes if records with different content use it. All but the first are rejections.
*/
class ticket_outcomes {
public:
    explicit ticket_outcomes(std::size_t max_numbers) : max_numbers_(max_numbers) {}

    /** Outcomes of a number in order of their offsets; empty if there are none. */
    [[nodiscard]] std::vector<ticket_outcome> find(std::uint64_t number) const;

    /** Adds an outcome unless its number is at or below the floor. Discards the lowest numbers if there are
        more than the limit. */
    void add(const ticket_outcome& outcome);

    /** Merges other outcomes. Drops an outcome if the other side includes its record without a gap but lacks
        the outcome. */
    void merge(const ticket_outcomes& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Raises the floor and discards the outcomes up to it. */
    void raise_floor(std::uint64_t floor);

    /** Tickets with numbers up to this one are rejected. */
    [[nodiscard]] std::uint64_t floor() const { return floor_; }

    /** Up to `limit` outcomes, highest numbers first. */
    [[nodiscard]] std::vector<ticket_outcome> recent(std::size_t limit) const;

    /** Outcomes of records at offset `from` or later. */
    [[nodiscard]] std::vector<ticket_outcome> since(std::uint64_t from) const;

    /** Order-independent hash of outcomes and floor. */
    [[nodiscard]] std::uint64_t digest() const { return digest_ + floor_; }

private:
    [[nodiscard]] bool contains(const ticket_outcome& outcome) const;
    void insert(const ticket_outcome& outcome);
    void trim();

    std::size_t max_numbers_;
    absl::btree_map<std::uint64_t, std::vector<ticket_outcome>> by_number_;
    std::uint64_t floor_{0};
    std::uint64_t digest_{0};
};

} // namespace berylcrank
