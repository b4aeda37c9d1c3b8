#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <random>
#include <string>

namespace sardinelb::test {

// An answer of a runner, right or wrong, that depends only on the seed, the request and the number of the attempt.
struct random_answer {
    enum class ending {
        // The connection stays open until the entry closes it.
        Open,
        Close,
        Reset,
        // The same answer is sent once more, late.
        LateSecondAnswer,
    };

    struct request {
        std::string id;
        std::size_t attempt = 0;
        bool isHead = false;
        bool isStream = false;
        int lastEvent = 0;
    };

    // Events of a whole stream.
    static constexpr int eventCount = 5;

    std::string kind;
    std::string seal;
    std::string bytes;
    std::string body;
    int status = 200;
    ending end = ending::Open;
    // The answer is complete and belongs to the request.
    bool isWhole = false;
    // Whole, and a success that the entry has to pass on.
    bool isSound = false;
    // A stream whose framing states its end before its last event.
    bool endsEarlyByItsFraming = false;

    static std::string event(const std::string& id, int number)
    {
        return "id: " + std::to_string(number) + "\ndata: " + id + " part " + std::to_string(number) + "\n\n";
    }

    static std::string allEvents(const std::string& id, int after = 0)
    {
        std::string events;
        for (int number = after + 1; number <= eventCount; ++number)
            events += event(id, number);
        return events;
    }

    static random_answer make(const request& asked, unsigned seed)
    {
        std::minstd_rand random(static_cast<unsigned>(std::hash<std::string> {}(asked.id + "/" + std::to_string(asked.attempt))) + seed);
        random.discard(3);
        random_answer sent;
        sent.seal = "s." + asked.id + "." + std::to_string(asked.attempt);
        sent.body = asked.isStream ? allEvents(asked.id, asked.lastEvent) : "body of " + asked.id + ", attempt " + std::to_string(asked.attempt) + std::string(random() % 3000, 'x') + "\r\n\r\n";
        const std::string fields = "Attempt-Id: " + asked.id + "\r\nServer-Seal: " + sent.seal + "\r\n";
        if (random() % 3 == 0)
            sent.makeSound(asked, fields, random() % 8);
        else if (asked.isStream && asked.lastEvent < eventCount && random() % 2 == 0)
            sent.makeWrongStream(asked, fields, random() % 10);
        else
            sent.makeWrong(asked, fields, random() % 29);
        return sent;
    }

private:
    static std::string chunked(const std::string& body, std::size_t size)
    {
        std::string text;
        for (std::size_t at = 0; at < body.size(); at += size) {
            const std::string part = body.substr(at, size);
            std::array<char, 20> digits {};
            std::snprintf(digits.data(), digits.size(), "%zx", part.size());
            text += std::string(digits.data()) + (at == 0 ? ";note=1" : "") + "\r\n" + part + "\r\n";
        }
        return text;
    }

    static std::string lengthOf(const std::string& body) { return "Content-Length: " + std::to_string(body.size()) + "\r\n"; }

    void makeSound(const request& asked, const std::string& fields, unsigned choice)
    {
        kind = "sound " + std::to_string(choice);
        isWhole = true;
        isSound = true;
        const std::string sentBody = asked.isHead ? "" : body;
        const std::string head = (choice % 2 == 0 ? "" : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") + std::string(choice == 4 ? "HTTP/1.0 200 OK\r\n" : "HTTP/1.1 200 OK\r\n") + fields;
        if (choice < 3) {
            bytes = head + lengthOf(body) + "\r\n" + sentBody;
            end = choice == 0 ? ending::LateSecondAnswer : ending::Open;
            if (choice == 1)
                bytes += bytes;
        } else if (choice < 6 && choice != 4) {
            bytes = head + "Transfer-Encoding: chunked\r\n\r\n" + (asked.isHead ? "" : chunked(body, 700) + "0\r\nX-Trailer: y\r\n\r\n");
        } else {
            // A closed connection ends a resumed stream only after an event of its own.
            bytes = head + "Connection: close\r\n\r\n" + sentBody;
            end = ending::Close;
            isSound = !body.empty();
        }
        if (asked.isHead)
            body.clear();
    }

    void makeWrongStream(const request& asked, const std::string& fields, unsigned choice)
    {
        kind = "wrong stream " + std::to_string(choice);
        const std::string begin = "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\n";
        const std::string first = event(asked.id, asked.lastEvent + 1);
        end = ending::Close;
        switch (choice) {
        case 0:
            bytes = begin + "\r\n" + first + first + allEvents(asked.id, asked.lastEvent + 1);
            break;
        case 1:
            bytes = begin + "\r\n" + first + event(asked.id, asked.lastEvent) + allEvents(asked.id, asked.lastEvent + 1);
            break;
        case 2:
            bytes = begin + "\r\n" + first + "id: x\ndata: other\n\n";
            break;
        case 3:
            bytes = begin + "\r\n" + first + begin + "\r\n" + allEvents(asked.id, asked.lastEvent);
            break;
        case 4:
            bytes = begin + "\r\n" + first + "id: 99\nda" + begin + "\r\n" + allEvents(asked.id, asked.lastEvent);
            break;
        case 5:
            bytes = begin + "\r\n" + first + "id: 99\nda";
            break;
        case 6:
            bytes = begin + "\r\n" + first;
            end = ending::Reset;
            break;
        case 7:
            bytes = begin + "Transfer-Encoding: chunked\r\n\r\n" + chunked(first + first, 30) + "0\r\n\r\n";
            break;
        case 8:
            bytes = begin + "Transfer-Encoding: chunked\r\n\r\n" + chunked(first, 30);
            break;
        default:
            bytes = begin + "Transfer-Encoding: chunked\r\n\r\n" + chunked(first + "nothing of this is an event\n\n", 30) + "0\r\n\r\n";
            break;
        }
        body.clear();
    }

    void makeWrong(const request& asked, const std::string& fields, unsigned choice)
    {
        kind = "wrong " + std::to_string(choice);
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        const std::string length = lengthOf(body);
        end = ending::Close;
        switch (choice) {
        case 0:
            bytes = "";
            break;
        case 1:
            bytes = ok + length + "\r\n" + body;
            break;
        case 2:
            bytes = ok + "Attempt-Id: other\r\nServer-Seal: s.other\r\n" + length + "\r\n" + body;
            break;
        case 3:
        case 4:
        case 5:
        case 6: {
            static constexpr std::array<const char*, 4> statuses { "000", "099", "600", "999" };
            bytes = std::string("HTTP/1.1 ") + statuses[choice - 3] + " X\r\n" + fields + length + "\r\n" + body;
            break;
        }
        case 7:
        case 8: {
            status = choice == 7 ? 204 : 304;
            bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + length + "\r\n" + body;
            body.clear();
            isWhole = true;
            break;
        }
        case 9:
            bytes = ok + fields + length + "Content-Length: 3\r\n\r\n" + body;
            break;
        case 10:
            bytes = ok + fields + length + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 700) + "0\r\n\r\n";
            break;
        case 11:
            bytes = ok + fields + "Content-Length: -5\r\n\r\n" + body;
            break;
        case 12:
            bytes = ok + fields + "Content-Length: 9000000000000000000\r\n\r\n" + body;
            break;
        case 13:
            bytes = ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 700);
            break;
        case 14:
            bytes = ok + fields + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body + "\r\n0\r\n\r\n";
            break;
        case 15:
            bytes = ok + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked(body, 700) + "0\r\n\r\n";
            break;
        case 16:
            bytes = ok + fields + "\r\n" + body;
            end = ending::Reset;
            break;
        case 17:
            bytes = "HTTP/1.1 200 OK\n" + fields + length + "\n" + body;
            break;
        case 18:
            bytes = ok + fields + std::string("X: a\0b\r\n", 8) + length + "\r\n" + body;
            break;
        case 19:
            bytes = ok + fields + "X: " + std::string(65536, 'x') + "\r\n" + length + "\r\n" + body;
            break;
        case 20:
            bytes = "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n";
            break;
        case 21:
            bytes = "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: x\r\n\r\n" + body;
            break;
        case 22:
            status = 500;
            bytes = "HTTP/1.1 500 X\r\n" + fields + length + "\r\n" + body;
            isWhole = true;
            break;
        case 23:
            status = 404;
            bytes = "HTTP/1.1 404 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 700) + "0\r\n\r\n";
            isWhole = true;
            break;
        case 24:
            bytes = "HTTP/1.1 503 X\r\nAttempt-Id: " + asked.id + "\r\nNot-Executed: 1\r\n" + length + "\r\n" + body;
            break;
        case 25:
            bytes = ok + fields + "Content-Encoding: gzip\r\n" + length + "\r\n" + body;
            break;
        case 26:
            bytes = ok + fields + length + "\r\n" + body.substr(0, body.size() / 2);
            break;
        case 27:
            bytes = ok + fields + length + "\r\n" + body.substr(0, body.size() / 2);
            end = ending::Open;
            break;
        default:
            bytes = std::string(500, '\0') + "\r\n\r\n";
            break;
        }
        if (asked.isHead)
            body.clear();
    }
};

}
