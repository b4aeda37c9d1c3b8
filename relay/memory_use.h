#pragma once

namespace sardinelb {

// What memory of a connection is used for.
enum class memory_use {
    // The connection itself, with its read buffer.
    Connection,
    // Heads of requests and bytes that have not been parsed.
    Head,
    // Bodies of requests, and the copy that is sent to a runner.
    Body,
    // Responses of runners that are collected.
    Answer,
    // Responses that the caller has not read.
    Unsent,
};

inline constexpr int memoryUses = 5;

// The name in metrics.
constexpr const char* nameOf(memory_use use)
{
    switch (use) {
    case memory_use::Connection:
        return "connections";
    case memory_use::Head:
        return "heads";
    case memory_use::Body:
        return "bodies";
    case memory_use::Answer:
        return "answers";
    case memory_use::Unsent:
        return "unsent";
    }
    return "";
}

}
