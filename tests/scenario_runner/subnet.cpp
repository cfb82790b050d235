#include "subnet.h"

#include <filesystem>
#include <stdexcept>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace monsoongrade::scenarios {

namespace {

constexpr int First = 100;
constexpr int Last = 249;

} // namespace

Subnet::Subnet()
{
    const auto folder = std::filesystem::temp_directory_path() / "monsoongrade-subnets";
    std::filesystem::create_directories(folder);
    // Runners that start together begin their search at different places.
    const int start = static_cast<int>(getpid() % (Last - First + 1));
    for (int i = 0; i <= Last - First; ++i) {
        number_ = First + (start + i) % (Last - First + 1);
        const auto path = folder / std::to_string(number_);
        lock_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (lock_ >= 0 && flock(lock_, LOCK_EX | LOCK_NB) == 0)
            return;
        if (lock_ >= 0)
            close(lock_);
    }
    throw std::runtime_error("every subnet of " + folder.string() + " is taken");
}

Subnet::~Subnet()
{
    close(lock_);
}

std::string Subnet::address(int x, int y) const
{
    return "127." + std::to_string(number_) + "." + std::to_string(x) + "." + std::to_string(y);
}

} // namespace monsoongrade::scenarios
