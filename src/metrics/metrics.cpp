/** @file metrics.cpp Metrics in memory; Boost.Accumulators estimates the quantiles. */
#include "metrics/metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace cornelwell {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> QUANTILES = {0.5, 0.9, 0.99, 0.999}; ///< Quantiles of each summary.
constexpr const char *PREFIX = "cornelwell_"; ///< Prefix of all metric names.

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

/** @return the name of a series with its labels. */
std::string seriesName(const std::string &name, const std::string &labels)
{
    return PREFIX + name + (labels.empty() ? "" : "{" + labels + "}");
}

template<typename Series>
void writeSeries(std::ostringstream &out, const Series &series, const char *type)
{
    std::string lastName;
    for (const auto &item : series) {
        if (item.first.first != lastName)
            out << "# TYPE " << PREFIX << item.first.first << " " << type << "\n";
        lastName = item.first.first;
        out << seriesName(item.first.first, item.first.second) << " " << item.second << "\n";
    }
}

} // namespace

/** The samples of one summary. */
struct Metrics::Summary
{
    Accumulator values{acc::extended_p_square_probabilities = QUANTILES};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels, double amount)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counters[{name, labels}] += amount;
}

void Metrics::set(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void Metrics::sample(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Summary> &summary = m_summaries[{name, labels}];
    if (!summary)
        summary = std::make_unique<Summary>();
    summary->values(value);
}

std::string Metrics::text() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::ostringstream out;
    out.precision(15);
    writeSeries(out, m_counters, "counter");
    writeSeries(out, m_gauges, "gauge");
    std::string lastName;
    for (const auto &item : m_summaries) {
        const std::string &name = item.first.first;
        const std::string &labels = item.first.second;
        if (name != lastName)
            out << "# TYPE " << PREFIX << name << " summary\n";
        lastName = name;
        for (const double quantile : QUANTILES) {
            std::ostringstream quantileLabels;
            quantileLabels << labels << (labels.empty() ? "" : ",") << "quantile=\"" << quantile
                           << "\"";
            out << seriesName(name, quantileLabels.str()) << " "
                << acc::quantile(item.second->values, acc::quantile_probability = quantile) << "\n";
        }
        out << seriesName(name + "_sum", labels) << " " << acc::sum(item.second->values) << "\n";
        out << seriesName(name + "_count", labels) << " " << acc::count(item.second->values)
            << "\n";
    }
    return out.str();
}

} // namespace cornelwell
