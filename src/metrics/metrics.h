/** @file metrics.h Counters, gauges and summaries of a process, in the Prometheus text format. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cornelwell {

/** Metrics by name and labels; all functions are thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /**
     * Adds to a counter.
     * @param name Metric name with its unit, such as `calls_total`.
     * @param labels Label set in Prometheus format, such as `code="0"`; may be empty.
     * @param amount Increment.
     */
    void count(const std::string &name, const std::string &labels = {}, double amount = 1);

    /** Sets a gauge. @param name Metric name with its unit. @param labels As for count(). */
    void set(const std::string &name, const std::string &labels, double value);

    /** Adds a sample to a summary; text() lists its count, sum and quantiles. */
    void sample(const std::string &name, const std::string &labels, double value);

    /** @return all metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Summary;
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Key, double> m_counters;
    std::map<Key, double> m_gauges;
    std::map<Key, std::unique_ptr<Summary>> m_summaries;
};

} // namespace cornelwell
