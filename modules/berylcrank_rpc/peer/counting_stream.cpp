#include "modules/berylcrank_rpc/peer/counting_stream.h"

namespace berylcrank {

kj::Promise<size_t> counting_stream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes) {
    return inner_->tryRead(buffer, min_bytes, max_bytes).then([this](size_t n) {
        received_ += n;
        total_ += n;
        return n;
    });
}

kj::Promise<void> counting_stream::write(const void* buffer, size_t size) {
    total_ += size;
    return inner_->write(buffer, size);
}

kj::Promise<void> counting_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
    for (const auto& piece : pieces) {
        total_ += piece.size();
    }
    return inner_->write(pieces);
}

} // namespace berylcrank
