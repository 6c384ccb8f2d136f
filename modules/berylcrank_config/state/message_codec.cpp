#include "modules/berylcrank_config/state/message_codec.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/io.h>
#include <xxhash.h>

namespace berylcrank {

namespace {

constexpr std::string_view packed_magic = "bcr\x01";
constexpr std::string_view flat_magic = "bcr\x02";
constexpr std::size_t magic_bytes = 4;
constexpr std::size_t header_bytes = magic_bytes + sizeof(std::uint64_t);

/** 64 MiB; limits the memory that a corrupt or hostile message can allocate. */
constexpr std::uint64_t max_message_words = 8ULL << 20U;

kj::ArrayPtr<const kj::byte> bytes_of(std::string_view data) {
    return {reinterpret_cast<const kj::byte*>(data.data()), data.size()};
}

/** Appends the output of a message to a string. */
class string_output_stream final : public kj::OutputStream {
public:
    explicit string_output_stream(std::string& out) : out_(out) {}
    void write(const void* data, std::size_t n) override { out_.append(static_cast<const char*>(data), n); }

private:
    std::string& out_;
};

} // namespace

std::string write_message(capnp::MessageBuilder& message, message_encoding encoding) {
    std::string out(encoding == message_encoding::packed ? packed_magic : flat_magic);
    out.append(sizeof(std::uint64_t), '\0');
    string_output_stream stream(out);
    if (encoding == message_encoding::packed) {
        kj::BufferedOutputStreamWrapper buffered(stream);
        capnp::writePackedMessage(buffered, message);
        buffered.flush();
    } else {
        capnp::writeMessage(stream, message);
    }
    const std::uint64_t sum = XXH3_64bits(out.data() + header_bytes, out.size() - header_bytes);
    std::memcpy(out.data() + magic_bytes, &sum, sizeof(sum));
    return out;
}

std::string read_message(std::string_view data, const std::function<void(capnp::MessageReader&)>& visit) {
    const auto magic = data.substr(0, magic_bytes);
    if (data.size() < header_bytes || (magic != packed_magic && magic != flat_magic)) {
        return "not a berylcrank message";
    }
    std::uint64_t sum = 0;
    std::memcpy(&sum, data.data() + magic_bytes, sizeof(sum));
    const auto payload = data.substr(header_bytes);
    if (sum != XXH3_64bits(payload.data(), payload.size())) {
        return "checksum does not match";
    }
    try {
        kj::ArrayInputStream stream(bytes_of(payload));
        const capnp::ReaderOptions options{.traversalLimitInWords = max_message_words};
        if (magic == packed_magic) {
            capnp::PackedMessageReader message(stream, options);
            visit(message);
        } else {
            capnp::InputStreamMessageReader message(stream, options);
            visit(message);
        }
    } catch (const kj::Exception& ex) {
        return std::string("not a readable message: ") + ex.getDescription().cStr();
    } catch (const std::exception& ex) {
        return std::string("not a readable message: ") + ex.what();
    }
    return "";
}

} // namespace berylcrank
