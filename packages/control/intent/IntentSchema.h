/** The JSON Schema of the intent document. */
#pragma once

namespace boragetrack::control::intent {

/** Returns the schema's text. */
const char *intentSchema();

} // namespace boragetrack::control::intent
