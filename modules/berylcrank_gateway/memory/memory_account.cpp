#include "modules/berylcrank_gateway/memory/memory_account.h"

#include "modules/berylcrank_gateway/memory/memory_charge.h"

#include <algorithm>

namespace berylcrank {

memory_account::options memory_account::options_for(std::size_t memory_bytes) {
    const auto limit = memory_bytes / 2;
    return {.limit = limit, .short_reserve = limit / 8, .address_limit = limit / 4 * 3};
}

bool memory_account::resize(memory_charge& it, std::size_t bytes, instant now, bool is_progress) {
    while (bytes > it.bytes_) {
        const bool address_fits = fits_address(it, bytes);
        if (address_fits && fits(it, bytes)) {
            break;
        }
        if (!shed_one(it, !address_fits, now)) {
            ++refused_;
            return false;
        }
    }
    if (bytes >= it.bytes_ && (is_progress || it.bytes_ == 0)) {
        note_progress(it, now);
    }
    set(it, bytes);
    return true;
}

void memory_account::note_progress(memory_charge& it, instant now) {
    it.progress_ = now;
    by_progress_.splice(by_progress_.end(), by_progress_, it.place_);
}

bool memory_account::fits(const memory_charge& it, std::size_t bytes) const {
    if (options_.limit == 0) {
        return true;
    }
    const auto by_other_long = used_by_long_ - (is_long(it.bytes_) ? it.bytes_ : 0);
    if (is_long(bytes) && by_other_long + bytes > options_.limit - options_.short_reserve) {
        return by_other_long == 0; // A single request within the limits is served, whatever its size.
    }
    const auto others = used_ - it.bytes_;
    const auto others_short = others - by_other_long;
    return others + bytes <= options_.limit ||
           (!is_long(bytes) && others_short + bytes <= options_.short_reserve);
}

bool memory_account::fits_address(const memory_charge& it, std::size_t bytes) const {
    if (options_.limit == 0) {
        return true;
    }
    const auto found = used_by_address_.find(it.address_);
    const auto others = found == used_by_address_.end() ? 0 : found->second - it.bytes_;
    const auto limit = options_.address_limit + (is_long(bytes) ? 0 : options_.short_reserve / 2);
    const auto by_other_long = used_by_long_ - (is_long(it.bytes_) ? it.bytes_ : 0);
    return others + bytes <= limit || (is_long(bytes) && by_other_long == 0);
}

bool memory_account::shed_one(const memory_charge& for_whom, bool same_address, instant now) {
    const auto found = std::ranges::find_if(by_progress_, [&](const memory_charge* it) {
        return it != &for_whom && it->shed_ && is_long(it->bytes_) &&
               now - it->progress_ >= options_.stall_time &&
               (!same_address || it->address_ == for_whom.address_);
    });
    if (found == by_progress_.end()) {
        return false;
    }
    auto& it = **found;
    const auto before = it.bytes_;
    ++shed_;
    it.shed_();
    return it.bytes_ < before;
}

void memory_account::set(memory_charge& it, std::size_t bytes) {
    if (bytes == it.bytes_) {
        return;
    }
    used_by_long_ -= is_long(it.bytes_) ? it.bytes_ : 0;
    used_by_long_ += is_long(bytes) ? bytes : 0;
    used_ += bytes - it.bytes_; // unsigned arithmetic also subtracts
    const auto found = used_by_address_.try_emplace(it.address_, 0).first;
    found->second += bytes - it.bytes_;
    if (found->second == 0) {
        used_by_address_.erase(found);
    }
    it.bytes_ = bytes;
}

} // namespace berylcrank
