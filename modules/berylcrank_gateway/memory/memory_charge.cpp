#include "modules/berylcrank_gateway/memory/memory_charge.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

memory_charge::memory_charge(std::shared_ptr<memory_account> account, std::string address,
                             std::function<void()> shed)
    : account_(std::move(account)), address_(std::move(address)), shed_(std::move(shed)),
      place_(account_->by_progress_.insert(account_->by_progress_.end(), this)) {}

memory_charge::~memory_charge() {
    account_->set(*this, 0);
    account_->by_progress_.erase(place_);
}

void memory_charge::reduce(std::size_t bytes) {
    account_->set(*this, std::min(bytes, bytes_));
}

} // namespace berylcrank
