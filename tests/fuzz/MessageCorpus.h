/** HTTP messages of many forms, sound and malformed, for tests of how they are read. */
#pragma once

#include <string>
#include <vector>

namespace boragetrack::tests {

/** Returns requests, some of them pipelined. */
inline std::vector<std::string> requestCorpus()
{
    const std::string get = "GET /items/1?x=1 HTTP/1.1\r\nHost: shop.example\r\n";
    const std::string post = "POST /orders/7 HTTP/1.1\r\nHost: shop.example\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    return {
            get + "\r\n",
            get + "Connection: close\r\nX-Empty:\r\nX-Spaces:  a b \t\r\n\r\n",
            "HEAD / HTTP/1.0\r\n\r\n",
            post + "Content-Length: 5\r\n\r\nhello",
            post + "Content-Length: 0\r\n\r\n",
            post + "Content-Length: 5\r\n\r\nhel",
            post + "Content-Length: -5\r\n\r\nhello",
            post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            post + "Content-Length: 99999999\r\n\r\nhello",
            post + "Transfer-Encoding: other\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
            chunked + "0\r\n\r\n",
            chunked + "000\r\n\r\n",
            chunked + "0;a=b\r\n\r\n",
            chunked + "0\r\nX-Trailer: t\r\n\r\n",
            chunked + "0\r\nX-Trailer: t\r\nX-Other: u\r\n\r\n",
            chunked + "0\r\nContent-Length: 7\r\n\r\n",
            chunked + "0\r\nnot a field\r\n\r\n",
            chunked + "1\r\nx\r\n0\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\n\r\n",
            chunked + "5\r\nhello\r\n00A\r\n, chunked!\r\n0;last\r\nX: y\r\n\r\n",
            chunked + "5;name=\"quoted; text\"\r\nhello\r\n0\r\n\r\n",
            chunked + "5;;\r\nhello\r\n0\r\n\r\n",
            chunked + "5;name=\"" + std::string(1000, ' ') + "\r\nhello\r\n0\r\n\r\n",
            chunked + "5;name=\"unclosed\r\nhello\r\n0;name=\"unclosed\r\n\r\n",
            chunked + "0;name=\"unclosed\r\n\r\n" + chunked + "0;x=\"y\"\r\n\r\n",
            chunked + "5\nhello\n0\n\n",
            chunked + "5\r\nhello0\r\n\r\n",
            chunked + "5\r\nhel",
            chunked + "zz\r\n",
            chunked + "\r\n0\r\n\r\n",
            chunked + "0\r",
            chunked + "0\r\n\rX\n",
            chunked + "ffffffffffffffffff\r\nhello",
            chunked + "fffffff\r\nhello",
            get + "\r\n" + post + "Content-Length: 2\r\n\r\nab" + chunked + "0\r\n\r\n" + get
                    + "\r\n",
            chunked + "0\r\n\r\n" + chunked + "1\r\nx\r\n0\r\nT: u\r\n\r\n" + get + "\r\n",
            get + "\r\nnot a request\r\n\r\n",
            "\r\n" + get + "\r\n",
            "GET /\r\n\r\n",
            "GET / HTTP/2.0\r\n\r\n",
            "GET / HTTP/1.1\nHost: a\n\n",
            "GET / HTTP/1.1\r\n Host: a\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
            "GET / HTTP/1.1\r\nHost a\r\n\r\n",
            "GET / HTTP/1.1\r\nHo\x01st: a\r\n\r\n",
            "G(T / HTTP/1.1\r\n\r\n",
            "GET  HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
            "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x'),
            "",
            "G",
            std::string("\0\0\0", 3),
    };
}

/** Returns responses, also several on one connection. */
inline std::vector<std::string> responseCorpus()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Id: a1\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    return {
            ok + "Content-Length: 5\r\n\r\nhello",
            ok + "Content-Length: 0\r\n\r\n",
            ok + "Content-Length: 9\r\n\r\nhello",
            ok + "\r\nto the close",
            ok + "\r\n",
            ok + "Connection: close\r\nContent-Length: 2\r\n\r\nab",
            ok + "Transfer-Encoding: other\r\n\r\nbytes",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n" + ok
                    + "Content-Length: 1\r\n\r\nx",
            "HTTP/1.0 200 OK\r\n\r\nold",
            "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
            chunked + "0\r\n\r\n",
            chunked + "0\r\nX-Trailer: t\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\n\r\n",
            chunked + "5;a=b\r\nhello\r\n1\r\n!\r\n0;c\r\nX: y\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\n",
            chunked + "5\r\nhello\r\n",
            chunked + "0\r\nX-Trailer: " + std::string(2000, 'x'),
            chunked + "0\r\n\r\n" + chunked + "0\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx",
            interim + ok + "Content-Length: 2\r\n\r\nab",
            interim + interim + chunked + "0\r\n\r\n",
            interim,
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            ok + "Content-Length: 1\r\n\r\nxtrailing garbage\r\n\r\n",
            "HTTP/1.1 2000 OK\r\n\r\n",
            "HTTP/1.1 20 OK\r\n\r\n",
            "HTTP/3 200 OK\r\n\r\n",
            "garbage",
            "garbage\r\n\r\n",
            "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            "HTTP/1.1 200 OK\r\nA\r\n\r\n",
            "HTTP/1.1 200 OK\r\nA: " + std::string(3000, 'x') + "\r\n\r\n",
            "",
    };
}

} // namespace boragetrack::tests
