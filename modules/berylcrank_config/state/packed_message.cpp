#include "modules/berylcrank_config/state/packed_message.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/io.h>
#include <xxhash.h>

namespace berylcrank {

namespace {

constexpr std::string_view packed_mark = "bcr\x01";
constexpr std::string_view flat_mark = "bcr\x02";
constexpr std::size_t mark_bytes = 4;
constexpr std::size_t head_bytes = mark_bytes + sizeof(std::uint64_t);

/** Bounds the memory that a damaged or hostile message can claim: 64 MiB. */
constexpr std::uint64_t most_words = 8ULL << 20U;

kj::ArrayPtr<const kj::byte> bytes_of(std::string_view it) {
    return {reinterpret_cast<const kj::byte*>(it.data()), it.size()};
}

/** Collects what a message writes. */
class string_output final : public kj::OutputStream {
public:
    explicit string_output(std::string& out) : out_(out) {}
    void write(const void* data, std::size_t n) override { out_.append(static_cast<const char*>(data), n); }

private:
    std::string& out_;
};

} // namespace

std::string write_message(capnp::MessageBuilder& message, message_form form) {
    std::string out(form == message_form::packed ? packed_mark : flat_mark);
    out.append(sizeof(std::uint64_t), '\0');
    string_output stream(out);
    if (form == message_form::packed) {
        kj::BufferedOutputStreamWrapper buffered(stream);
        capnp::writePackedMessage(buffered, message);
        buffered.flush();
    } else {
        capnp::writeMessage(stream, message);
    }
    const std::uint64_t sum = XXH3_64bits(out.data() + head_bytes, out.size() - head_bytes);
    std::memcpy(out.data() + mark_bytes, &sum, sizeof(sum));
    return out;
}

std::string read_message(std::string_view data, const std::function<void(capnp::MessageReader&)>& use) {
    const auto mark = data.substr(0, mark_bytes);
    if (data.size() < head_bytes || (mark != packed_mark && mark != flat_mark)) {
        return "not a berylcrank message";
    }
    std::uint64_t sum = 0;
    std::memcpy(&sum, data.data() + mark_bytes, sizeof(sum));
    const auto payload = data.substr(head_bytes);
    if (sum != XXH3_64bits(payload.data(), payload.size())) {
        return "checksum does not match";
    }
    try {
        kj::ArrayInputStream stream(bytes_of(payload));
        const capnp::ReaderOptions options{.traversalLimitInWords = most_words};
        if (mark == packed_mark) {
            capnp::PackedMessageReader message(stream, options);
            use(message);
        } else {
            capnp::InputStreamMessageReader message(stream, options);
            use(message);
        }
    } catch (const kj::Exception& ex) {
        return std::string("not a readable message: ") + ex.getDescription().cStr();
    } catch (const std::exception& ex) {
        return std::string("not a readable message: ") + ex.what();
    }
    return "";
}

} // namespace berylcrank
