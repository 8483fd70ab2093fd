/** Tests that an exchange arrives as it was sent. */
#include "transport/wire/ControlCodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::Exchange;

namespace {

Exchange sentAndReceived(const Exchange &exchange)
{
    capnp::MallocMessageBuilder message;
    transport::wire::encode(exchange, message.initRoot<transport::wire::schema::Exchange>());
    return transport::wire::decode(message.getRoot<transport::wire::schema::Exchange>().asReader());
}

} // namespace

// Guards against an intent's number that is set and not transmitted.
TEST(ExchangeCodec, carriesTheNumberOfTheIntentInForce)
{
    Exchange exchange;
    exchange.intentNumber = core::identity::IntentNumber(18446744073709551615U);
    EXPECT_EQ(sentAndReceived(exchange).intentNumber, exchange.intentNumber);
    EXPECT_EQ(sentAndReceived(Exchange{}).intentNumber, core::identity::IntentNumber{});
}
