/** @file contacts_func.h The object that lists peers to begin with. */
#pragma once

#include "base/result.h"
#include "control/control_type.h"

#include <string>

namespace cornelwell {

/** @return the contacts of an object's text. */
Result<ContactMap> decodeContacts(const std::string &text);

/** @return the object's text. */
std::string encodeContacts(const ContactMap &contacts);

} // namespace cornelwell
