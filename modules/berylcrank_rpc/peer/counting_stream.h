#pragma once

#include <atomic>
#include <cstdint>
#include <kj/async-io.h>

// KJ's streams have no virtual destructor by design: `kj::Own` stores how to destroy them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace berylcrank {

/** A stream that counts the bytes sent and received. Used only on the thread of its KJ event loop.

    @see peer_endpoint::traffic_bytes
*/
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class counting_stream final : public kj::AsyncIoStream {
public:
    /** Adds the bytes sent and received to `total`, which all streams of an endpoint share and which must
        outlive the stream. */
    counting_stream(kj::Own<kj::AsyncIoStream> inner, std::atomic<std::uint64_t>& total)
        : inner_(kj::mv(inner)), total_(total) {}

    /** Returns the number of bytes received on this stream. */
    [[nodiscard]] std::uint64_t received() const { return received_; }

    kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return inner_->whenWriteDisconnected(); }
    void shutdownWrite() override { inner_->shutdownWrite(); }
    void abortRead() override { inner_->abortRead(); }
    void getsockopt(int level, int option, void* value, kj::uint* length) override {
        inner_->getsockopt(level, option, value, length);
    }
    void setsockopt(int level, int option, const void* value, kj::uint length) override {
        inner_->setsockopt(level, option, value, length);
    }

private:
    kj::Own<kj::AsyncIoStream> inner_;
    std::atomic<std::uint64_t>& total_;
    std::uint64_t received_{0};
};

} // namespace berylcrank

#pragma GCC diagnostic pop
