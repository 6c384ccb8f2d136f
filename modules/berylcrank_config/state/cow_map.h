#pragma once

#include "absl/container/flat_hash_map.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace berylcrank {

/** Hash of names that allows lookups by `std::string_view`; Abseil's defaults do not allow this for
    `std::string` keys. */
struct name_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return XXH3_64bits(name.data(), name.size()); }
};

/** Equality of names that allows lookups by `std::string_view`. @see name_hash */
struct name_equal {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const { return a == b; }
};

/** An immutable copy-on-write map from names to shared values. A changed copy shares all unchanged shards, so
    a small change copies one shard instead of the whole map.

    @see config_view
*/
template <typename Value>
class cow_map {
public:
    using pointer = std::shared_ptr<const Value>;
    using shard_type = absl::flat_hash_map<std::string, pointer, name_hash, name_equal>;

    /** With 30,000 upstreams a shard holds about 117 names. */
    static constexpr std::size_t shard_count = 256;

    /** Builds a changed copy. Copies each modified shard once. */
    class editor {
    public:
        explicit editor(const cow_map& source) : map_(source) {}

        /** Sets a value, or removes the name if `value` is null. */
        void set(std::string_view name, pointer value) {
            auto& shard = edit(shard_index(name));
            map_.size_ -= shard.size();
            if (value == nullptr) {
                shard.erase(name);
            } else {
                shard.insert_or_assign(std::string(name), std::move(value));
            }
            map_.size_ += shard.size();
        }

        [[nodiscard]] const cow_map& result() const { return map_; }

    private:
        shard_type& edit(std::size_t i) {
            if (edited_[i] == nullptr) {
                edited_[i] = map_.shards_[i] == nullptr ? std::make_shared<shard_type>()
                                                        : std::make_shared<shard_type>(*map_.shards_[i]);
                map_.shards_[i] = edited_[i];
            }
            return *edited_[i];
        }

        cow_map map_;
        std::array<std::shared_ptr<shard_type>, shard_count> edited_;
    };

    /** The value of a name; null if there is none. */
    [[nodiscard]] const pointer* find(std::string_view name) const {
        const auto& shard = shards_[shard_index(name)];
        if (shard == nullptr) {
            return nullptr;
        }
        const auto it = shard->find(name);
        return it == shard->end() ? nullptr : &it->second;
    }

    /** Calls `visit` for each value, in unspecified order. */
    template <typename Visitor>
    void for_each(const Visitor& visit) const {
        for (const auto& shard : shards_) {
            if (shard != nullptr) {
                for (const auto& [name, value] : *shard) {
                    visit(value);
                }
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    /** Hashes with a seed of its own: without it all names of a shard would share the low bits of the hash
        that the map of the shard uses. */
    static std::size_t shard_index(std::string_view name) {
        return XXH3_64bits_withSeed(name.data(), name.size(), 1) % shard_count;
    }

    std::array<std::shared_ptr<const shard_type>, shard_count> shards_;
    std::size_t size_{0};
};

} // namespace berylcrank
