/** The JSON Schema of the intent document. */
#pragma once

namespace boragetrack::control::intent {

/** Returns the text of the schema, which has static storage duration. */
const char *intentSchema();

} // namespace boragetrack::control::intent
