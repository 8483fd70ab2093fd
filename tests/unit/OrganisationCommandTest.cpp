/** Tests that the commands for organisations change the intent as a whole or not at all, and that
   no key is stored anywhere. */
#include "control/intent/KeyDigest.h"
#include "control/store/StoreKeys.h"
#include "operators/commands/CommandTable.h"
#include "operators/keys/KeyGenerator.h"
#include "tests/unit/FakeStore.h"
#include "tests/unit/TestIntent.h"
#include "transport/http/BlockingClient.h"

#include <gmock/gmock.h>
#include <sstream>

using namespace boragetrack;
using control::intent::KeyDigest;
using nlohmann::json;
using operators::ExitCode;
using operators::commands::CommandResult;
using testing::HasSubstr;
using testing::Not;

namespace {

class OrganisationCommandTest : public testing::Test
{
protected:
    OrganisationCommandTest()
    {
        store_.values[control::store::intentKey]
                = {control::store::StoreVersion{1}, tests::envelopeText(1)};
        settings_.operatorName = "adaeze";
    }

    /** Runs a command line with words separated by spaces; changes get a reason. */
    CommandResult run(const std::string &line, const std::string &reason = "tested")
    {
        std::istringstream stream(line);
        std::vector<std::string> words{std::istream_iterator<std::string>(stream), {}};
        const operators::commands::Command *command = table_.takeCommand(words);
        if (command == nullptr)
            return {ExitCode::UsageError, "unknown command"};
        namespace options = boost::program_options;
        options::options_description description;
        command->addOptions(description);
        options::positional_options_description positions;
        for (const std::string &name : command->positionalArguments())
            positions.add(name.c_str(), 1);
        if (!line.ends_with("list"))
            words.insert(words.end(), {"--reason", reason});
        options::variables_map arguments;
        options::store(options::command_line_parser(words)
                               .options(description)
                               .positional(positions)
                               .run(),
                       arguments);
        options::notify(arguments);
        operators::commands::CommandContext context(settings_, store_, client_,
                                                    [](const std::string &) {});
        return command->run(context, arguments);
    }

    json organisations()
    {
        const json stored = json::parse(store_.values[control::store::intentKey].value);
        return stored["document"].value("organisations", json());
    }

    /** Returns all texts of the store, among them the audit trail. */
    std::string everythingStored() const
    {
        std::string all;
        for (const auto &[key, stored] : store_.values)
            all += key + "\n" + stored.value + "\n";
        return all;
    }

    tests::FakeStore store_;
    operators::settings::OperatorSettings settings_;
    transport::http::BlockingClient client_;
    operators::commands::CommandTable table_;
};

} // namespace

TEST_F(OrganisationCommandTest, addsAndRemovesOrganisationsAndSaysWhenKeysBecomeNecessary)
{
    EXPECT_EQ(run("organisation list").json["keysRequired"], false);
    const CommandResult first = run("organisation add pulo780 --priority 0");
    EXPECT_EQ(first.code, ExitCode::Success) << first.text;
    EXPECT_THAT(first.text, HasSubstr("requests need a key"));
    const CommandResult second = run("organisation add kabo51");
    EXPECT_THAT(second.text, Not(HasSubstr("requests need a key")));
    EXPECT_EQ(organisations(), json::parse(R"([{"name": "pulo780", "keys": [], "priority": 0},
                                               {"name": "kabo51", "keys": []}])"));
    EXPECT_EQ(run("organisation add kabo51").code, ExitCode::Failed);
    EXPECT_EQ(run("organisation add urgent --priority -1").code, ExitCode::Failed);
    EXPECT_EQ(run("organisation remove unknown").code, ExitCode::Failed);
    EXPECT_EQ(run("organisation remove pulo780").code, ExitCode::Success);
    EXPECT_EQ(run("organisation remove kabo51").code, ExitCode::Success);
    // The field stays: removing the last organisation must not let everybody in.
    EXPECT_EQ(organisations(), json::array());
    EXPECT_EQ(run("organisation list").json["keysRequired"], true);
}

TEST_F(OrganisationCommandTest, storesTheDigestOfANewKeyAndTheKeyNowhere)
{
    run("organisation add pulo780");
    const CommandResult added = run("organisation key add pulo780");
    ASSERT_EQ(added.code, ExitCode::Success) << added.text;
    const std::string key = added.json["key"];
    EXPECT_THAT(key, testing::MatchesRegex("[0-9a-f]{40}"));
    EXPECT_THAT(added.text, HasSubstr(key));
    EXPECT_EQ(organisations()[0]["keys"], json::array({KeyDigest::of(key).toHex()}));
    EXPECT_EQ(added.json["digest"], KeyDigest::of(key).prefix());
    EXPECT_THAT(everythingStored(), Not(HasSubstr(key)));
    EXPECT_THAT(everythingStored(), HasSubstr("key add pulo780 " + KeyDigest::of(key).prefix()));
    const CommandResult listed = run("organisation list");
    EXPECT_EQ(listed.json["organisations"][0]["keys"], json::array({KeyDigest::of(key).prefix()}));
    EXPECT_THAT(listed.text, Not(HasSubstr(KeyDigest::of(key).toHex())));
}

// A key whose digest was not stored would be given to callers in vain.
TEST_F(OrganisationCommandTest, printsNoKeyOfARefusedChange)
{
    const CommandResult refused = run("organisation key add unknown");
    EXPECT_EQ(refused.code, ExitCode::Failed);
    EXPECT_FALSE(refused.json.contains("key")) << refused.json.dump();
    run("organisation add pulo780");
    store_.isUnavailable = true;
    const CommandResult failed = run("organisation key add pulo780");
    EXPECT_EQ(failed.code, ExitCode::PlatformUnreachable);
    EXPECT_FALSE(failed.json.contains("key"));
}

TEST_F(OrganisationCommandTest, removesAKeyByTheFirstDigitsOfItsDigest)
{
    run("organisation add pulo780");
    const std::string first = run("organisation key add pulo780").json["digest"];
    const std::string second = run("organisation key add pulo780").json["digest"];
    EXPECT_EQ(run("organisation key remove pulo780 " + first.substr(0, 3)).code, ExitCode::Failed);
    EXPECT_EQ(run("organisation key remove other " + first).code, ExitCode::Failed);
    EXPECT_EQ(run("organisation key remove pulo780 " + first).code, ExitCode::Success);
    EXPECT_EQ(organisations()[0]["keys"].size(), 1U);
    EXPECT_EQ(run("organisation key remove pulo780 " + first).code, ExitCode::Failed);
    EXPECT_EQ(run("organisation list").json["organisations"][0]["keys"], json::array({second}));
}

TEST_F(OrganisationCommandTest, refusesDigitsThatSeveralKeysShare)
{
    json document = tests::intentJson();
    document["organisations"]
            = {{{"name", "pulo780"},
                {"keys", {"aaaa0" + std::string(59, '0'), "AAAA1" + std::string(59, '0')}}}};
    store_.values[control::store::intentKey].value = tests::envelopeText(1, document);
    EXPECT_THAT(run("organisation key remove pulo780 aaaa").text, HasSubstr("several keys"));
    EXPECT_EQ(run("organisation key remove pulo780 AaAa1").code, ExitCode::Success);
    EXPECT_EQ(organisations()[0]["keys"], json::array({"aaaa0" + std::string(59, '0')}));
}

// Operators paste keys into the wrong argument. Neither the store nor a message may repeat one.
TEST_F(OrganisationCommandTest, keepsPastedKeysOutOfTheAuditTrail)
{
    run("organisation add pulo780");
    const std::string key = run("organisation key add pulo780").json["key"];
    const std::pair<std::string, std::string> changes[]
            = {{"organisation key remove pulo780 " + key, "tested"},
               {"organisation add " + key, "tested"},
               {"organisation add kabo51", "replaces 'Bearer " + key + "'."},
               {"default set callTimeoutMs 900", "key=" + key}};
    for (const auto &[line, reason] : changes) {
        const CommandResult refused = run(line, reason);
        EXPECT_EQ(refused.code, ExitCode::Failed) << line;
        EXPECT_THAT(refused.text, Not(HasSubstr(key)));
    }
    // The reason that removes a key still must not contain it.
    const std::string digest = KeyDigest::of(key).prefix();
    EXPECT_EQ(run("organisation key remove pulo780 " + digest, "leaked: " + key).code,
              ExitCode::Failed);
    EXPECT_EQ(organisations().size(), 1U);
    EXPECT_THAT(everythingStored(), Not(HasSubstr(key)));
}

// The conflict message shows what the other change did, which may have added a key.
TEST_F(OrganisationCommandTest, shortensDigestsInAConflictMessage)
{
    run("organisation add pulo780");
    std::string digest;
    store_.beforeWrite = [&] {
        digest = KeyDigest::of(run("organisation key add pulo780").json["key"].get<std::string>())
                         .toHex();
    };
    const CommandResult conflict = run("organisation add kabo51");
    EXPECT_EQ(conflict.code, ExitCode::Conflict);
    EXPECT_THAT(conflict.text, HasSubstr(digest.substr(0, KeyDigest::prefixDigits)));
    EXPECT_THAT(conflict.text, Not(HasSubstr(digest)));
}

TEST(KeyGenerator, givesDifferentKeys)
{
    EXPECT_NE(operators::keys::generateKey().value(), operators::keys::generateKey().value());
}
