// A small configuration in the format of the platform.
#pragma once

#include <string>

namespace node_test {

inline std::string config_json(const std::string& discovery = "127.0.0.1:1",
                               const std::string& targets = "", int sockets = 256,
                               double rate = 1000, int memory_mb = 64, int connect_ms = 250) {
    const std::string default_target =
        R"({"uid":"s-1","endpoint":"127.0.0.1:2","az":"a","model":"m","pod_group":3,"state":"ready","capacity_hint":1,"boot_ms":0})";
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(memory_mb) + R"(,"sockets":)" + std::to_string(sockets) +
           R"(},"known":{"rev":41,"all":true,"targets":[)" +
           (targets.empty() ? default_target : targets) +
           R"(]},"settings":{"rank":0,"instances":3,"locality":"a","tickUs":2000,
"requestClasses":[{"name":"lookup","effect":"retryable","deadlineUs":2000000,"promiseUs":600000,"value":3},
 {"name":"order","effect":"dedup","dedupScope":"cell","deadlineUs":2000000,"promiseUs":750000,"repeatWindowUs":1200000}],
"tiersOfService":[{"name":"team","rate":)" +
           std::to_string(rate) + R"(,"mostAtOnce":)" + std::to_string(rate) +
           R"(}],
"ceilings":{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":)" +
           std::to_string(connect_ms) + R"(000,"maxAttempts":3,"maxRetryAfterUs":2000000,
 "mayDuplicate":false,"peers":false,"probes":false,"retryAfter":true},
"familyInfo":{"unitsTop":4,"mailPerS":100},
"reporting":{"how":"inline","names":["backlog"]},
"guarantees":{"coldUs":10000000,"fallUs":2000000,"overloadFactor":3,"startCapacity":0.2}}})";
}

}  // namespace node_test
