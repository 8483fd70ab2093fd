/** Tests that texts come out of their packed form whole or not at all. */
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

TEST(TextCompression, comesOutWhole)
{
    for (const std::string &text : {std::string(), std::string("short"), longText()})
        EXPECT_EQ(decompressText(compressText(text)), text);
    EXPECT_LT(compressText(longText()).size(), longText().size() / 5);
}

TEST(TextCompression, tellsWhatIsGarbledOrCutOff)
{
    const std::string packed = compressText(longText());
    EXPECT_FALSE(decompressText(""));
    EXPECT_FALSE(decompressText("no packed text"));
    EXPECT_FALSE(decompressText(packed.substr(0, packed.size() / 2)));
    std::string garbled = packed;
    garbled[garbled.size() / 2] ^= 0x10;
    EXPECT_FALSE(decompressText(garbled));
}

TEST(TextCompression, refusesWhatWouldGrowWithoutBound)
{
    EXPECT_FALSE(decompressText(compressText(std::string(maximumTextBytes + 1, 'x'))));
}

TEST(TextCompressor, packsAnotherTextAnew)
{
    TextCompressor compressor;
    const std::string first = compressor.compress("first", 1);
    EXPECT_EQ(compressor.compress("first", 1), first);
    EXPECT_EQ(decompressText(compressor.compress("second", 2)), "second");
}
