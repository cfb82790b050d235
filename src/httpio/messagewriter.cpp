#include <monsoongrade/httpio/messagewriter.h>

#include <http_parser.h>

#include <cstdio>

namespace monsoongrade::httpio {

namespace {

void append(std::string &out, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
}

} // namespace

std::string encodeRequestHead(std::string_view method, std::string_view target,
                              const Headers &headers, std::size_t bodyLength)
{
    std::string out;
    out.reserve(512);
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append(out, headers);
    if (bodyLength > 0 || (method != "GET" && method != "HEAD"))
        out += "Content-Length: " + std::to_string(bodyLength) + "\r\n";
    return out += "\r\n";
}

std::string encodeResponseHead(int status, const Headers &headers, Framing framing,
                               std::size_t bodyLength, bool keepAlive)
{
    std::string out;
    out.reserve(512);
    out += "HTTP/1.1 " + std::to_string(status) + " ";
    out += http_status_str(static_cast<http_status>(status));
    out += "\r\n";
    append(out, headers);
    if (framing == Framing::Chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else
        out += "Content-Length: " + std::to_string(bodyLength) + "\r\n";
    if (!keepAlive)
        out += "Connection: close\r\n";
    return out += "\r\n";
}

std::string encodeChunk(std::string_view bytes)
{
    char size[20];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    std::string out;
    out.reserve(bytes.size() + std::size_t(length) + 2);
    out.append(size, std::size_t(length)).append(bytes).append("\r\n");
    return out;
}

} // namespace monsoongrade::httpio
