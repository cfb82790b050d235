#include <monsoongrade/rpc/peerclient.h>

#include <rpc/internal/keymessages.h>
#include <rpc/internal/peerconnection.h>
#include <rpc/internal/peermessages.h>

#include <monsoongrade/observability/log.h>

#include <kj/timer.h>

#include <future>
#include <map>

namespace monsoongrade::rpc {

namespace {

using configuration::ManifestContents;
using internal::PeerConnection;
using membership::DaemonRole;
using membership::MemberId;
using units::ResultCode;

constexpr auto CallTimeout = 2 * kj::SECONDS;
// A run that another router is asked about may itself take a while.
constexpr auto KeyAnswerTimeout = 60 * kj::SECONDS;
// Neighbours, whoever was asked to help, and some to spare.
constexpr std::size_t MaxConnections = 48;

units::Result<ManifestContents> readContents(schema::Peer::FetchConfigurationResults::Reader in)
{
    ManifestContents contents;
    if (in.getManifest().size() == 0)
        return contents;
    BOOST_LEAF_ASSIGN(contents.manifest, configuration::decodeManifest(in.getManifest()));
    for (const auto content : in.getContents()) {
        const auto bytes = content.getText();
        contents.texts[content.getHash()]
            = std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    }
    return contents;
}

} // namespace

class PeerClient::Impl : private kj::TaskSet::ErrorHandler
{
public:
    using Fetched = units::Outcome<ManifestContents>;

    Impl(RpcLoop &loop, const PeerSettings &settings)
        : loop_(loop)
        , settings_(settings)
        , tasks_(*this)
    {
    }

    void tell(const membership::OutgoingMessage &message, OnAnswer onAnswer)
    {
        auto call = peerAt(message.to, message.address).tellRequest();
        internal::write(call.initNews(), message.message);
        auto answered = call.send().then([onAnswer = std::move(onAnswer)](auto response) {
            for (const auto news : response.getAnswers()) {
                const auto answer = units::capture([&] { return internal::read(news); });
                if (answer.value)
                    onAnswer(*answer.value);
            }
        });
        run(message.to, kj::mv(answered));
    }

    void fetch(const membership::MemberRecord &from, units::Generation above,
               const configuration::TextByHash &known, std::promise<Fetched> &done)
    {
        auto call = peerAt(from.id, from.address).fetchConfigurationRequest();
        call.setAbove(above.value());
        auto hashes = call.initKnown(static_cast<unsigned>(known.size()));
        unsigned next = 0;
        for (const auto &entry : known)
            hashes.set(next++, entry.first);
        auto promise
            = loop_.timer()
                  .timeoutAfter(CallTimeout, call.send())
                  .then([&done](auto response) {
                      done.set_value(units::capture([&] { return readContents(response); }));
                  })
                  .catch_([this, &done, id = from.id](kj::Exception &&exception) {
                      done.set_value(
                          {std::nullopt,
                           {ResultCode::NoConfiguration, exception.getDescription().cStr()}});
                      drop(id);
                  });
        tasks_.add(kj::mv(promise));
    }

    void askKey(const membership::MemberRecord &holder, const requests::HolderQuestion &question,
                const requests::KeyHolderClient::ReplyHandler &reply)
    {
        auto call = peerAt(holder.id, holder.address).askKeyRequest();
        internal::write(call.initQuestion(), question);
        tasks_.add(loop_.timer()
                       .timeoutAfter(KeyAnswerTimeout, call.send())
                       .then([](auto response) { return internal::read(response.getReply()); })
                       .catch_([this, id = holder.id](kj::Exception &&) {
                           drop(id);
                           return requests::HolderReply();
                       })
                       .then([reply](requests::HolderReply known) { reply(known); }));
    }

private:
    struct Connection
    {
        kj::Own<PeerConnection> connection;
        std::string address;
        std::uint64_t lastUse = 0;
    };

    schema::Peer::Client peerAt(const MemberId &id, const std::string &address)
    {
        Connection &entry = connections_[id];
        // A host may come back under another address.
        if (entry.connection && entry.address != address)
            lost_.push_back(kj::mv(entry.connection));
        if (!entry.connection) {
            const std::uint16_t port
                = id.role == DaemonRole::Router ? settings_.routerPort : settings_.schedulerPort;
            entry.connection = kj::heap<PeerConnection>(loop_, settings_, address, port);
            entry.address = address;
        }
        entry.lastUse = ++uses_;
        auto peer = entry.connection->peer();
        if (connections_.size() > MaxConnections)
            dropOldest();
        return peer;
    }

    void dropOldest()
    {
        auto oldest = connections_.begin();
        for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
            if (entry->second.lastUse < oldest->second.lastUse)
                oldest = entry;
        }
        drop(oldest->first);
    }

    void run(const MemberId &id, kj::Promise<void> call)
    {
        tasks_.add(loop_.timer()
                       .timeoutAfter(CallTimeout, kj::mv(call))
                       .catch_([this, id](kj::Exception &&) { drop(id); }));
    }

    // Called from within the connection's own promises, which must not be destroyed there.
    void drop(MemberId id)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            return;
        lost_.push_back(kj::mv(found->second.connection));
        connections_.erase(found);
        tasks_.add(kj::evalLater([this] { lost_.clear(); }));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        observability::log(observability::LogLevel::Debug, "peer-call-failed",
                           {{"message", exception.getDescription().cStr()}});
    }

    RpcLoop &loop_;
    PeerSettings settings_;
    std::map<MemberId, Connection> connections_;
    std::vector<kj::Own<PeerConnection>> lost_;
    std::uint64_t uses_ = 0;
    kj::TaskSet tasks_;
};

PeerClient::PeerClient(RpcLoop &loop, const PeerSettings &settings)
    : loop_(loop)
{
    loop_.postAndWait([&] { impl_ = std::make_shared<Impl>(loop, settings); });
}

PeerClient::~PeerClient()
{
    loop_.postAndWait([&] { impl_.reset(); });
}

void PeerClient::tell(const membership::OutgoingMessage &message, OnAnswer onAnswer)
{
    impl_->tell(message, std::move(onAnswer));
}

units::Result<ManifestContents>
PeerClient::fetchConfiguration(const membership::MemberRecord &from, units::Generation above,
                               const configuration::TextByHash &known)
{
    std::promise<Impl::Fetched> done;
    loop_.post([&] { impl_->fetch(from, above, known, done); });
    const Impl::Fetched fetched = done.get_future().get();
    if (fetched.value)
        return *fetched.value;
    return units::fail(fetched.error.code,
                       "asked " + from.id.host.value() + ": " + fetched.error.message);
}

void PeerClient::askKey(const membership::MemberRecord &holder,
                        const requests::HolderQuestion &question,
                        requests::KeyHolderClient::ReplyHandler reply)
{
    loop_.post([impl = impl_, holder, question, reply = std::move(reply)] {
        impl->askKey(holder, question, reply);
    });
}

} // namespace monsoongrade::rpc
