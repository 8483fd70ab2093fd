/** Fuzz target of the readers of HTTP messages. */
#pragma once

#include "tests/fuzz/FuzzTarget.h"
#include "tests/fuzz/MessageReading.h"

namespace boragetrack::tests {

/** Reads an input whole, byte by byte and as cut, and compares the results. */
template <typename Head>
class MessageTarget : public FuzzTarget
{
public:
    /** @param hasBody false for responses to HEAD requests */
    MessageTarget(std::vector<std::string> seeds, bool hasBody)
        : seeds_(std::move(seeds))
        , hasBody_(hasBody)
    {}

    std::vector<std::string> seeds() const override { return seeds_; }

    std::optional<std::string> run(const std::string &input,
                                   const std::vector<std::size_t> &cuts) const override
    {
        const std::string whole = readMessages<Head>(piecesOf(input, {}), hasBody_);
        const std::string cut = readMessages<Head>(piecesOf(input, cuts), hasBody_);
        if (cut != whole)
            return "whole:\n" + whole + "\ncut:\n" + cut;
        std::vector<std::size_t> all;
        for (std::size_t i = 1; i < input.size(); ++i)
            all.push_back(i);
        const std::string single = readMessages<Head>(piecesOf(input, all), hasBody_);
        if (single != whole)
            return "whole:\n" + whole + "\nbyte by byte:\n" + single;
        return std::nullopt;
    }

private:
    std::vector<std::string> seeds_;
    bool hasBody_;
};

} // namespace boragetrack::tests
