#pragma once

namespace sardinelb {

// Budget of retries that grows with each request and that retries spend.
class retry_budget {
public:
    retry_budget(double initial, double bound)
        : m_left(initial)
        , m_bound(bound)
    {
    }

    void earn(double retries) { m_left = m_left + retries < m_bound ? m_left + retries : m_bound; }
    bool covers(double retries) const { return m_left >= retries; }
    void spend(double retries) { m_left -= retries; }

private:
    double m_left;
    double m_bound;
};

}
