#include <monsoongrade/configuration/folder.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace monsoongrade::configuration {

namespace fs = std::filesystem;

units::Result<SourceFile> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (!in || fs::is_directory(path) || !(text << in.rdbuf()))
        return units::fail(units::ResultCode::FileUnreadable, path + " can't be read");
    return SourceFile{fs::path(path).filename().string(), text.str()};
}

units::Result<std::vector<SourceFile>> readFolder(const std::string &path)
{
    std::vector<std::string> paths;
    std::error_code error;
    if (fs::is_directory(path, error)) {
        for (const auto &entry : fs::directory_iterator(path, error)) {
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
