#include <monsoongrade/configuration/configurationcontents.h>

namespace monsoongrade::configuration {

ConfigurationContents::Snapshot ConfigurationContents::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

void ConfigurationContents::put(ManifestContents contents)
{
    auto next = std::make_shared<const ManifestContents>(std::move(contents));
    const std::lock_guard lock(mutex_);
    current_ = std::move(next);
}

} // namespace monsoongrade::configuration
