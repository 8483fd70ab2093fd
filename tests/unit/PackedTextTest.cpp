/** Tests that texts come out of their packed form whole or not at all. */
#include "transport/wire/TextPacker.h"

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

TEST(PackedText, comesOutWhole)
{
    for (const std::string &text : {std::string(), std::string("short"), longText()})
        EXPECT_EQ(unpackText(packText(text)), text);
    EXPECT_LT(packText(longText()).size(), longText().size() / 5);
}

TEST(PackedText, tellsWhatIsGarbledOrCutOff)
{
    const std::string packed = packText(longText());
    EXPECT_FALSE(unpackText(""));
    EXPECT_FALSE(unpackText("no packed text"));
    EXPECT_FALSE(unpackText(packed.substr(0, packed.size() / 2)));
    std::string garbled = packed;
    garbled[garbled.size() / 2] ^= 0x10;
    EXPECT_FALSE(unpackText(garbled));
}

TEST(PackedText, refusesWhatWouldGrowWithoutBound)
{
    EXPECT_FALSE(unpackText(packText(std::string(longestPackedText + 1, 'x'))));
}

TEST(TextPacker, packsAnotherTextAnew)
{
    TextPacker packer;
    const std::string first = packer.pack("first", 1);
    EXPECT_EQ(packer.pack("first", 1), first);
    EXPECT_EQ(unpackText(packer.pack("second", 2)), "second");
}
