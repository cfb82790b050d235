#ifndef MONSOONGRADE_TESTS_SCENARIO_RUNNER_SUBNET_H
#define MONSOONGRADE_TESTS_SCENARIO_RUNNER_SUBNET_H

#include <string>

namespace monsoongrade::scenarios {

// A part of loopback, 127.N.x.y, that no other runner on this machine has while this one lives:
// N is held by a lock on a file, which the system frees even when the runner is killed.
class Subnet
{
public:
    // Throws std::runtime_error where none is free.
    Subnet();
    ~Subnet();
    Subnet(const Subnet &) = delete;
    Subnet &operator=(const Subnet &) = delete;

    std::string address(int x, int y) const;

private:
    int number_ = 0;
    int lock_ = -1;
};

} // namespace monsoongrade::scenarios

#endif // MONSOONGRADE_TESTS_SCENARIO_RUNNER_SUBNET_H
