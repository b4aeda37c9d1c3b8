#pragma once

#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// What the load driver sends.
struct load_plan {
    // Bounds of a uniform draw, both included.
    struct range {
        std::uint64_t lowest = 0;
        std::uint64_t highest = 0;
    };

    struct chat_plan {
        std::uint64_t count = 0;
        // Shares of the requests, 0 to 1.
        double streamedShare = 0.5;
        double longShare = 0.05;
        range shortTokens { 4, 16 };
        range longTokens { 200, 400 };
        range promptBytes { 200, 800 };
        // Bytes at the start of each prompt that all prompts of one key share.
        std::uint64_t sharedPrefixBytes = 128;
        // Text that the engine gets for a message; "{content}" stands for the message.
        std::string promptTemplate = "{content}";
    };

    struct booking_plan {
        std::uint64_t count = 0;
        std::string path = "/bookings";
    };

    // How work that was refused as not run is sent again.
    struct resend_plan {
        // Attempts for one request, including the first.
        std::uint64_t attempts = 8;
        duration firstDelay = std::chrono::milliseconds(50);
        duration longestDelay = std::chrono::seconds(2);
    };

    // Distinguishes the requests of several runs against the same entries.
    std::string run = "run";
    std::uint64_t seed = 1;
    // "address:port" of the entries and of the plain services whose counts are compared.
    std::vector<std::string> entries;
    std::vector<std::string> services;
    std::vector<std::string> keys;
    std::string model;
    // Requests in flight at the same time.
    std::uint64_t concurrency = 16;
    // Bound on the rate at which requests start; 0 for none.
    double requestsPerSecond = 0;
    // An answer that takes longer counts as broken.
    duration timeout = std::chrono::seconds(60);
    chat_plan chat;
    booking_plan bookings;
    resend_plan resend;
};

// Reads a plan from JSON text (docs/stand-ins.md). Throws std::invalid_argument, naming the field, when a field is
// missing, unknown or out of range.
load_plan parseLoadPlan(const std::string& text);

}
