#include "upstream/resp/health_check.h"

#include "resp/serializer.h"

namespace silverreach::upstream_resp {

std::string health_check_command(bool request_load_report) {
    std::string command;
    if (!request_load_report) {
        resp::append_array(command, 1);
        resp::append_bulk(command, "PING");
        return command;
    }
    resp::append_array(command, 2);
    resp::append_bulk(command, "INFO");
    resp::append_bulk(command, "load");
    return command;
}

HostResponse parse_health_check_reply(const resp::Reply& reply) {
    HostResponse response;
    const bool healthy = reply.type == resp::ReplyType::status ||
                         reply.type == resp::ReplyType::bulk_string ||
                         reply.type == resp::ReplyType::null;
    response.outcome = healthy ? Outcome::success : Outcome::error;
    if (reply.type == resp::ReplyType::bulk_string) response.report = parse_load_report(reply.text);
    return response;
}

}  // namespace silverreach::upstream_resp
