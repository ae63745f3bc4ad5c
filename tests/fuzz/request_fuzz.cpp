/** @file request_fuzz.cpp libFuzzer target: requests are read the same however the bytes are cut.
 */
#include "exchange/request_reader.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace cornelwell;

/** Reads all requests, the bytes cut into pieces of one size. */
std::vector<std::string> readAll(std::string_view bytes, std::size_t piece)
{
    RequestReader reader({2048, 4096});
    std::vector<std::string> read;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        reader.feed(bytes.substr(at, piece));
        RequestParseStatus step = reader.parse();
        while (step == RequestParseStatus::Complete) {
            const IncomingRequest one = reader.take();
            read.push_back(one.request.method + ' ' + one.request.path + ' ' + one.request.body);
            step = reader.parse();
        }
        // When a refusal comes depends on the cut; what was read as a request must not.
        if (step == RequestParseStatus::Failed)
            break;
    }
    return read;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (readAll(bytes, size + 1) != readAll(bytes, 1)
        || readAll(bytes, size + 1) != readAll(bytes, 7))
        std::abort();
    return 0;
}
