/** A response of a scripted upstream. */
#pragma once

#include <chrono>
#include <string>
#include <vector>

/** The bytes that are written in response to one request. */
struct ScriptedResponse
{
    /** Bytes that are written some time after the previous ones. */
    struct Piece
    {
        std::chrono::milliseconds delay;
        std::string bytes;
    };

    /** Converts a text that is written at once, so that a script can consist of texts. */
    ScriptedResponse(const std::string &text)
        : pieces{{std::chrono::milliseconds(0), text}}
    {}
    explicit ScriptedResponse(std::vector<Piece> piecesInOrder)
        : pieces(std::move(piecesInOrder))
    {}

    std::vector<Piece> pieces;
};
