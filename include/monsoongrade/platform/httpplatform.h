#ifndef MONSOONGRADE_PLATFORM_HTTPPLATFORM_H
#define MONSOONGRADE_PLATFORM_HTTPPLATFORM_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/platform/hostlist.h>
#include <monsoongrade/platform/objectstore.h>

namespace monsoongrade::platform {

// ObjectStore and HostList over HTTP and JSON, as the platform stand-in speaks it.
// Thread-safe.
class HttpPlatform : public ObjectStore, public HostList
{
public:
    // base: "http://address:port". The client must outlive this object.
    HttpPlatform(endpoints::EndpointClient &client, std::string base);

    units::Result<StoredObject> get(const std::string &name) override;
    units::Result<std::vector<StoredObject>> list(const std::string &prefix) override;
    units::Result<ObjectVersion> createIfAbsent(const std::string &name,
                                                const std::string &value) override;
    units::Result<ObjectVersion> updateIfVersion(const std::string &name, ObjectVersion version,
                                                 const std::string &value) override;
    units::Result<void> remove(const std::string &name) override;
    units::Result<void> removeIfVersion(const std::string &name, ObjectVersion version) override;
    units::Result<StoredObject> waitForChange(const std::string &name, ObjectVersion above,
                                              units::Duration wait) override;
    units::Result<std::vector<Host>> hosts() override;

private:
    units::Result<std::string> call(const std::string &method, const std::string &pathAndQuery,
                                    const endpoints::Headers &headers, const std::string &body,
                                    units::Duration limit);
    units::Result<ObjectVersion> put(const std::string &name, const endpoints::Header &condition,
                                     const std::string &value);

    endpoints::EndpointClient &client_;
    std::string base_;
};

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_PLATFORM_HTTPPLATFORM_H
