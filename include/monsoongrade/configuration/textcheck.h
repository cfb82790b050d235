#ifndef MONSOONGRADE_CONFIGURATION_TEXTCHECK_H
#define MONSOONGRADE_CONFIGURATION_TEXTCHECK_H

#include <monsoongrade/configuration/problem.h>
#include <monsoongrade/configuration/sourcefile.h>

#include <optional>

namespace monsoongrade::configuration {

// The first byte that is no UTF-8 text, with its line. The YAML library takes such bytes, and
// UTF-16, as they come; in the store, which holds JSON, they would become other names than those
// that were checked.
std::optional<Problem> findUnreadableText(const SourceFile &file);

// A file whose last line has no end. Editors end it; a copy that was cut off mostly does not, and
// may still be good YAML that names less than it should.
std::optional<Problem> findCutOffEnd(const SourceFile &file);

} // namespace monsoongrade::configuration

#endif // MONSOONGRADE_CONFIGURATION_TEXTCHECK_H
