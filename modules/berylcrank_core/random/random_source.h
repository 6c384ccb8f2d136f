#pragma once

#include <cstdint>
#include <random>

namespace berylcrank {

/** Random number generator. Decision code takes it as an argument, so that tests can use a fixed seed. Not
    safe for concurrent use.

    @see seeded_random
*/
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    virtual ~random_source() = default;

    /** Returns 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a uniformly distributed integer in [0, limit). `limit` must be greater than 0. */
    std::uint64_t below(std::uint64_t limit) {
        return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * limit) >> 64U);
    }

    /** Returns a uniformly distributed number in [0, 1). */
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

/** Mersenne Twister generator. A seed yields the same sequence on every platform.

    @see random_source
*/
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

/** Returns 64 random bits from the operating system, for incarnations, secrets and seeds. */
inline std::uint64_t entropy() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace berylcrank
