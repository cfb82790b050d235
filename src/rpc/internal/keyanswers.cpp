#include <rpc/internal/keyanswers.h>

namespace monsoongrade::rpc::internal {

using requests::HolderReply;

KeyAnswers::KeyAnswers(RpcLoop &loop, units::DaemonId self)
    : loop_(loop)
    , self_(std::move(self))
{
}

kj::Promise<HolderReply> KeyAnswers::ask(const requests::HolderQuestion &question)
{
    // A router that was restarted knows nothing of what its earlier life ran. Answering for it
    // could say "not used" of a key that did run.
    if (!answerer_ || question.holder != self_)
        return HolderReply();
    auto pair = kj::newPromiseAndFulfiller<HolderReply>();
    const std::uint64_t number = nextNumber_++;
    waiting_.emplace(number, kj::mv(pair.fulfiller));
    answerer_(question, [&loop = loop_, weak = weak_from_this(), number](const HolderReply &reply) {
        loop.post([weak, number, reply] {
            const auto self = weak.lock();
            if (!self)
                return;
            const auto found = self->waiting_.find(number);
            found->second->fulfill(HolderReply(reply));
            self->waiting_.erase(found);
        });
    });
    return kj::mv(pair.promise);
}

} // namespace monsoongrade::rpc::internal
