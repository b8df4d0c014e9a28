// The platform of one instance: four hosts in two pods, their list, and the instance's
// configuration with the classes and the plan of a small deployment.
#pragma once

#include <memory>

#include "standin.h"

namespace standin {

constexpr int host_count = 4;
constexpr int hosts_per_pod = 2;

using Hosts = std::vector<std::unique_ptr<Server>>;

inline int uniform(std::mt19937& random, int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
}

// `serve` gets the number of the host and a connection to it.
inline Hosts start_hosts(const std::function<void(int, Connection&)>& serve) {
    Hosts hosts;
    for (int i = 0; i < host_count; ++i)
        hosts.push_back(
            std::make_unique<Server>([serve, i](Connection& connection) { serve(i, connection); }));
    return hosts;
}

// The whole list of the hosts, in discovery's form.
inline std::string list_of(const Hosts& hosts) {
    std::string targets;
    for (int i = 0; i < host_count; ++i)
        targets += std::string(i ? "," : "") + R"({"uid":"s-)" + std::to_string(i) +
                   R"(","endpoint":"127.0.0.1:)" +
                   std::to_string(hosts[static_cast<std::size_t>(i)]->port()) +
                   R"(","az":"fes-hall","model":"small-3core","pod_group":)" +
                   std::to_string(i / hosts_per_pod) +
                   R"(,"state":"ready","capacity_hint":1,"boot_ms":0})";
    return R"({"rev":41,"all":true,"targets":[)" + targets + "]}";
}

inline std::string config(int port, int discovery_port, const std::string& list) {
    return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(port) +
           R"(","discovery":"127.0.0.1:)" + std::to_string(discovery_port) +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":)" +
           list +
           R"(,"settings":{"rank":0,"instances":1,"locality":"fes-hall","tickUs":2000,
"requestClasses":[
 {"name":"site-lookup","effect":"retryable","deadlineUs":2000000,"promiseUs":600000,"value":3},
 {"name":"count-submit","effect":"dedup","dedupScope":"cell","deadlineUs":2000000,
  "promiseUs":750000,"repeatWindowUs":1200000,"value":5}],
"tiersOfService":[{"name":"institute","rate":200,"mostAtOnce":400}],
"ceilings":{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"maxAttempts":4,
 "maxRetryAfterUs":2000000,"mayDuplicate":false,"peers":false,"probes":true,"retryAfter":true},
"familyInfo":{"unitsTop":1,"mailPerS":100},
"reporting":{"how":"inline","names":["backlog"]},
"guarantees":{"coldUs":17000000,"fallUs":2000000,"overloadFactor":3,"startCapacity":0.18}}})";
}

// The words of a request of either class; `body` is not used by a lookup.
inline std::vector<std::string> request_words(bool is_lookup, const std::string& customer,
                                              const std::string& id, const std::string& body) {
    const std::string common = ",t=institute,d=1500,units=1,spread=1,first=0";
    if (is_lookup) return {"SVC.QUERY", customer, id, "c=site-lookup" + common};
    return {"SVC.SUBMIT", customer, id, "c=count-submit,k=" + id + common, body};
}

// A host's answer to a request: the value made for it, and the load report.
inline std::string value_for(const std::string& id) {
    return "value of " + id;
}
inline std::string answer_for(const std::string& id) {
    return "*3\r\n" + bulk(value_for(id)) + "$-1\r\n" + bulk("backlog=0");
}

}  // namespace standin
