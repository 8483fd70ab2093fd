/** Changes, removes, repeats and inserts bytes, joins parts of two seeds, and inserts tokens of
    HTTP. */
#include "tests/fuzz/Mutator.h"

#include <array>

namespace boragetrack::tests {

namespace {

constexpr std::array tokens{"\r\n",
                            "\r",
                            "\n",
                            "0\r\n",
                            "0\r\n\r\n",
                            "\r\n\r\n",
                            "1\r\nx\r\n",
                            ";a=b",
                            "Transfer-Encoding: chunked\r\n",
                            "Content-Length: 3\r\n",
                            "Content-Length: 18446744073709551615\r\n",
                            "Connection: close\r\n",
                            "HTTP/1.1 100 Continue\r\n\r\n",
                            "HTTP/1.1 200 OK\r\n",
                            "GET / HTTP/1.1\r\n",
                            "ffffffffffffffff\r\n",
                            " ",
                            ":"};

} // namespace

std::string Mutator::next()
{
    std::string input = seeds_[below(seeds_.size())];
    const std::size_t mutations = below(6);
    for (std::size_t i = 0; i < mutations; ++i)
        mutate(input);
    input.resize(std::min(input.size(), maximumBytes));
    return input;
}

void Mutator::mutate(std::string &input)
{
    const std::size_t at = below(input.size() + 1);
    const std::size_t length = below(std::min<std::size_t>(input.size() - at, 40) + 1);
    switch (below(7)) {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(random_());
        break;
    case 1:
        input.erase(at, length);
        break;
    case 2:
        input.insert(at, input.substr(at, length));
        break;
    case 3:
        input.insert(at, tokens.at(below(tokens.size())));
        break;
    case 4: {
        const std::string &other = seeds_[below(seeds_.size())];
        input = input.substr(0, at) + other.substr(below(other.size() + 1));
        break;
    }
    case 5:
        input.insert(at, below(1500), static_cast<char>("0x\r\n "[below(5)]));
        break;
    default:
        if (at < input.size())
            input[at] = static_cast<char>(input[at] ^ (1 << below(8)));
        break;
    }
}

std::vector<std::size_t> Mutator::cutsOf(const std::string &input)
{
    std::vector<std::size_t> cuts;
    const std::size_t step = 1 + below(60);
    for (std::size_t cut = 1 + below(step); cut < input.size(); cut += 1 + below(2 * step))
        cuts.push_back(cut);
    return cuts;
}

} // namespace boragetrack::tests
