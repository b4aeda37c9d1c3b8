#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Requests that the load driver sends, and how.
struct load_plan {
    // Inclusive bounds of a uniform distribution.
    struct range {
        std::uint64_t lowest = 0;
        std::uint64_t highest = 0;
    };

    struct chat_plan {
        std::uint64_t count = 0;
        // Fractions of the requests, 0 to 1.
        double streamedShare = 0.5;
        double longShare = 0.05;
        range shortTokens { 4, 16 };
        range longTokens { 200, 400 };
        range promptBytes { 200, 800 };
        // Length of the prompt prefix that all prompts of one key have in common.
        std::uint64_t sharedPrefixBytes = 128;
        // Prompt that the engine receives for a message; "{content}" is replaced by the message.
        std::string promptTemplate = "{content}";
    };

    struct booking_plan {
        std::uint64_t count = 0;
        std::string path = "/bookings";
    };

    // Retries of requests that were rejected as not run.
    struct resend_plan {
        // Attempts for one request, including the first.
        std::uint64_t attempts = 8;
        duration firstDelay = std::chrono::milliseconds(50);
        duration longestDelay = std::chrono::seconds(2);
    };

    // Keeps the requests of several runs against the same entries distinct.
    std::string run = "run";
    std::uint64_t seed = 1;
    // "address:port" of the entries and of the plain services whose counts are compared.
    std::vector<std::string> entryAddresses;
    std::vector<std::string> serviceAddresses;
    std::vector<std::string> keys;
    std::string model;
    // Maximum number of requests in flight.
    std::uint64_t concurrency = 16;
    // Maximum rate at which requests start; 0 means unlimited.
    double requestsPerSecond = 0;
    // A response that takes longer counts as broken.
    duration timeout = std::chrono::seconds(60);
    chat_plan chat;
    booking_plan bookings;
    resend_plan resend;
};

// Parses a plan from JSON (docs/stand-ins.md). Throws std::invalid_argument, naming the field, if a field is missing,
// unknown or out of range.
load_plan parseLoadPlan(const std::string& text);

}
