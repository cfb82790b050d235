#include <monsoongrade/rpc/peerserver.h>

#include <rpc/internal/keyanswers.h>
#include <rpc/internal/keymessages.h>
#include <rpc/internal/peermessages.h>
#include <rpc/internal/peerservice.h>

#include <monsoongrade/observability/log.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <monsoongrade.capnp.h>

#include <set>

namespace monsoongrade::rpc {

namespace {

using membership::OutgoingMessage;
using membership::PeerMessage;
using units::ResultCode;

constexpr auto TickPeriod = 50 * kj::MILLISECONDS;

// Sends what the protocol wants sent, and feeds the answers back.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(PeerClient &client, membership::Membership &membership)
        : client_(client)
        , membership_(membership)
    {
    }

    void send(const membership::Membership::Outgoing &messages)
    {
        for (const OutgoingMessage &message : messages) {
            client_.tell(message, [weak = weak_from_this()](const PeerMessage &answer) {
                if (const auto exchange = weak.lock())
                    exchange->send(exchange->membership_.receive(answer));
            });
        }
    }

    // Takes a message in; returns what goes back to its sender as the call's answer.
    std::vector<PeerMessage> receive(const PeerMessage &message)
    {
        std::vector<PeerMessage> answers;
        membership::Membership::Outgoing others;
        for (OutgoingMessage &outgoing : membership_.receive(message)) {
            if (outgoing.to == message.from.id)
                answers.push_back(std::move(outgoing.message));
            else
                others.push_back(std::move(outgoing));
        }
        send(others);
        return answers;
    }

    void tick() { send(membership_.tick()); }

private:
    PeerClient &client_;
    membership::Membership &membership_;
};

class PeerImpl final : public schema::Peer::Server
{
public:
    PeerImpl(std::shared_ptr<Exchange> exchange, configuration::ConfigurationContents &contents,
             std::shared_ptr<internal::KeyAnswers> keys)
        : exchange_(std::move(exchange))
        , contents_(contents)
        , keys_(std::move(keys))
    {
    }

    kj::Promise<void> tell(TellContext context) override
    {
        const auto message
            = units::capture([&] { return internal::read(context.getParams().getNews()); });
        if (!message.value) {
            observability::log(observability::LogLevel::Warning, "peer-message-refused",
                               {{"code", static_cast<int>(message.error.code)}});
            return KJ_EXCEPTION(FAILED, "malformed peer message");
        }
        const auto answers = exchange_->receive(*message.value);
        auto out = context.getResults().initAnswers(static_cast<unsigned>(answers.size()));
        for (unsigned i = 0; i < out.size(); ++i)
            internal::write(out[i], answers[i]);
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        const auto current = contents_.current();
        const auto params = context.getParams();
        if (current->manifest.generation.value() <= params.getAbove())
            return kj::READY_NOW;
        std::set<std::string> known;
        for (const auto hash : params.getKnown())
            known.insert(hash);
        std::vector<std::pair<std::string, std::string>> missing;
        for (const auto &entry : current->texts) {
            if (known.count(entry.first) == 0)
                missing.emplace_back(entry);
        }
        auto results = context.getResults();
        results.setManifest(configuration::encodeManifest(current->manifest));
        auto contents = results.initContents(static_cast<unsigned>(missing.size()));
        for (unsigned i = 0; i < contents.size(); ++i) {
            const auto &text = missing[i].second;
            contents[i].setHash(missing[i].first);
            contents[i].setText(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(text.data()), text.size()));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> askKey(AskKeyContext context) override
    {
        return keys_->ask(internal::read(context.getParams().getQuestion()))
            .then([context](requests::HolderReply reply) mutable {
                internal::write(context.getResults().initReply(), reply);
            });
    }

private:
    std::shared_ptr<Exchange> exchange_;
    configuration::ConfigurationContents &contents_;
    std::shared_ptr<internal::KeyAnswers> keys_;
};

// What a daemon without another listener answers hello with.
class HelloImpl final : public schema::Daemon::Server
{
public:
    HelloImpl(PeerSettings settings, schema::Peer::Client peer)
        : settings_(std::move(settings))
        , peer_(std::move(peer))
    {
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        const auto params = context.getParams();
        auto result = context.getResults().initResult();
        result.setIncarnation(settings_.self.value());
        if (units::ClusterName(params.getCluster()) != settings_.cluster)
            result.setCode(static_cast<int>(ResultCode::ForeignCluster));
        else if (params.getVersion() != schema::PROTOCOL_VERSION)
            result.setCode(static_cast<int>(ResultCode::ProtocolVersionMismatch));
        else
            result.setPeer(peer_);
        return kj::READY_NOW;
    }

private:
    PeerSettings settings_;
    schema::Peer::Client peer_;
};

} // namespace

class PeerServer::Impl : private kj::TaskSet::ErrorHandler
{
public:
    Impl(RpcLoop &loop, const PeerSettings &settings, PeerClient &client,
         membership::Membership &membership, configuration::ConfigurationContents &contents)
        : loop_(loop)
        , exchange_(std::make_shared<Exchange>(client, membership))
        , keys_(std::make_shared<internal::KeyAnswers>(loop, settings.self))
        , peer_(kj::heap<PeerImpl>(exchange_, contents, keys_))
        , tasks_(*this)
        , server_(kj::heap<HelloImpl>(settings, peer_))
    {
        if (settings.port != 0) {
            auto address = loop.io().getNetwork().parseAddress(settings.address, settings.port);
            tasks_.add(address.then([this](kj::Own<kj::NetworkAddress> parsed) {
                receiver_ = parsed->listen();
                return server_.listen(*receiver_);
            }));
        }
        tick();
    }

    schema::Peer::Client peer() { return peer_; }
    internal::KeyAnswers &keys() { return *keys_; }

private:
    void tick()
    {
        exchange_->tick();
        tasks_.add(loop_.timer().afterDelay(TickPeriod).then([this] { tick(); }));
    }

    void taskFailed(kj::Exception &&exception) override
    {
        observability::log(observability::LogLevel::Error, "rpc-task-failed",
                           {{"message", exception.getDescription().cStr()}});
    }

    RpcLoop &loop_;
    std::shared_ptr<Exchange> exchange_;
    std::shared_ptr<internal::KeyAnswers> keys_;
    schema::Peer::Client peer_;
    kj::TaskSet tasks_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::TwoPartyServer server_;
};

namespace internal {

schema::Peer::Client peerService(PeerServer &server)
{
    return server.impl()->peer();
}

} // namespace internal

PeerServer::PeerServer(RpcLoop &loop, const PeerSettings &settings, PeerClient &client,
                       membership::Membership &membership,
                       configuration::ConfigurationContents &contents)
    : loop_(loop)
{
    loop_.postAndWait(
        [&] { impl_ = std::make_shared<Impl>(loop, settings, client, membership, contents); });
}

PeerServer::~PeerServer()
{
    loop_.postAndWait([&] { impl_.reset(); });
}

void PeerServer::answerKeysWith(KeyAnswerer answerer)
{
    loop_.postAndWait([&] { impl_->keys().setAnswerer(std::move(answerer)); });
}

} // namespace monsoongrade::rpc
