/** Tests that decompression returns the original text, and nothing for corrupt, truncated or too
    large input. */
#include "transport/wire/TextCompressor.h"

#include <gtest/gtest.h>

using namespace boragetrack::transport::wire;

namespace {

std::string longText()
{
    std::string text;
    for (int i = 0; i < 2000; ++i)
        text += R"({"name":"r-)" + std::to_string(i) + R"(","prefix":"/orders/"})";
    return text;
}

} // namespace

TEST(TextCompression, restoresTheOriginalText)
{
    for (const std::string &text : {std::string(), std::string("short"), longText()})
        EXPECT_EQ(decompressText(compressText(text)), text);
    EXPECT_LT(compressText(longText()).size(), longText().size() / 5);
}

TEST(TextCompression, rejectsCorruptAndTruncatedInput)
{
    const std::string compressed = compressText(longText());
    EXPECT_FALSE(decompressText(""));
    EXPECT_FALSE(decompressText("not in zlib format"));
    EXPECT_FALSE(decompressText(compressed.substr(0, compressed.size() / 2)));
    std::string corrupt = compressed;
    corrupt[corrupt.size() / 2] ^= 0x10;
    EXPECT_FALSE(decompressText(corrupt));
}

TEST(TextCompression, rejectsTextsAboveTheLimit)
{
    EXPECT_FALSE(decompressText(compressText(std::string(maximumTextBytes + 1, 'x'))));
}

TEST(TextCompressor, compressesEachNewText)
{
    TextCompressor compressor;
    const std::string first = compressor.compress("first", 1);
    EXPECT_EQ(compressor.compress("first", 1), first);
    EXPECT_EQ(decompressText(compressor.compress("second", 2)), "second");
}
