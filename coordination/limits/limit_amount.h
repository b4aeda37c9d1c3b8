#pragma once

namespace sardinelb {

// Number of tokens and of requests, or a rate of both per second. May be fractional because buckets fill continuously.
struct limit_amount {
    double tokens = 0;
    double requests = 0;

    limit_amount& operator+=(const limit_amount& other)
    {
        tokens += other.tokens;
        requests += other.requests;
        return *this;
    }

    limit_amount& operator-=(const limit_amount& other)
    {
        tokens -= other.tokens;
        requests -= other.requests;
        return *this;
    }

    friend limit_amount operator+(limit_amount left, const limit_amount& right) { return left += right; }
    friend limit_amount operator-(limit_amount left, const limit_amount& right) { return left -= right; }
    friend limit_amount operator*(const limit_amount& amount, double factor)
    {
        return { amount.tokens * factor, amount.requests * factor };
    }

    // Whether both components are at least as large as in `other`.
    bool covers(const limit_amount& other) const
    {
        return tokens >= other.tokens && requests >= other.requests;
    }
};

// Componentwise minimum.
inline limit_amount componentwiseMin(const limit_amount& left, const limit_amount& right)
{
    return { left.tokens < right.tokens ? left.tokens : right.tokens,
        left.requests < right.requests ? left.requests : right.requests };
}

// Componentwise maximum.
inline limit_amount componentwiseMax(const limit_amount& left, const limit_amount& right)
{
    return { left.tokens > right.tokens ? left.tokens : right.tokens,
        left.requests > right.requests ? left.requests : right.requests };
}

}
