#include <monsoongrade/configuration/folder.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace monsoongrade::configuration {

namespace fs = std::filesystem;

units::Result<SourceFile> readFile(const std::string &path)
{
    std::error_code ignored;
    if (fs::is_directory(path, ignored))
        return units::fail(units::ResultCode::FileUnreadable, path + " is a folder, not a file");
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in.is_open() || in.bad())
        return units::fail(units::ResultCode::FileUnreadable,
                           path + " can't be read: " + std::generic_category().message(errno));
    return SourceFile{fs::path(path).filename().string(), std::move(text)};
}

units::Result<std::vector<SourceFile>> readFolder(const std::string &path)
{
    std::vector<std::string> paths;
    std::error_code error;
    if (fs::is_directory(path, error)) {
        const fs::directory_iterator entries(path, error);
        if (error)
            return units::fail(units::ResultCode::FileUnreadable,
                               path + " can't be read: " + error.message());
        for (const auto &entry : entries) {
            if (entry.path().extension() == ".yaml")
                paths.push_back(entry.path().string());
        }
        std::sort(paths.begin(), paths.end());
    } else {
        paths.push_back(path);
    }
    if (paths.empty())
        return units::fail(units::ResultCode::FileUnreadable, path + " holds no *.yaml file");
    std::vector<SourceFile> files;
    for (const std::string &name : paths) {
        BOOST_LEAF_AUTO(file, readFile(name));
        files.push_back(std::move(file));
    }
    return files;
}

} // namespace monsoongrade::configuration
