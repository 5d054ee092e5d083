#include <ConfigurationRecord.h>
#include <NodeFile.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::platform;

namespace {

constexpr char const *ServerText =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":24,
        "version":"v1.3","state":"ready","born":1700000000000,"spot":true,"sequence":4})";

std::string withReplacement(std::string Text, std::string const &What,
                            std::string const &Replacement) {
  return Text.replace(Text.find(What), What.size(), Replacement);
}

constexpr char const *SettingsText = R"(node_name=edge-a-1
ip=10.1.0.16
zone=a-1
zones.a-1=a
zones.b-1=b
listen.frontend=10.1.0.16:8360
listen.ready=10.1.0.16:8365
internal_ports=7500,7515
platform.address=10.200.1.7:8361
cloud_api.address=10.200.0.114:8361
bounds.grace_s=8
bounds.lease_ms=3000
bounds.config_apply_ms=2500
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=56
bounds.retry_window_s=10
bounds.quota_window_s=8
bounds.quota_overrun=0.1
bounds.quota_slack=140000
bounds.usage_window_s=5
bounds.usage_late_s=10
something.new=1
)";

} // namespace

TEST_CASE("A server record is decoded") {
  auto const Decoded = decodeServer("i-1", ServerText);
  REQUIRE(Decoded);
  CHECK(Decoded->Id_ == ServerId("i-1"));
  CHECK(Decoded->IncarnationStartMilliseconds_ == 1700000000000);
  CHECK(Decoded->Endpoint_ == Endpoint{"10.0.0.9", 8080});
  CHECK(Decoded->Slots_ == 24);
  CHECK(Decoded->Phase_ == ServerPhase::Ready);
  CHECK(Decoded->IsReclaimable_);
  CHECK(Decoded->SoftwareVersion_ == "v1.3");
}

TEST_CASE("A malformed server record is ignored") {
  auto const [What, Replacement] = GENERATE(
      table<std::string, std::string>({{"\"ready\"", "\"resting\""},
                                       {"\"10.0.0.9:8080\"", "\"nowhere\""},
                                       {"\"10.0.0.9:8080\"", "17"},
                                       {"\"service\":\"s\",", ""},
                                       {"\"version\":\"v1.3\",", ""},
                                       {"\"v1.3\"", "13"},
                                       {"24", "\"many\""},
                                       {"24", "-3"},
                                       {"24", "4294967296"},
                                       {"24", "1e999"},
                                       {"8080", "99999"},
                                       {"8080", "0"},
                                       {"{", "["}}));
  CAPTURE(What, Replacement);
  CHECK_FALSE(
      decodeServer("i-1", withReplacement(ServerText, What, Replacement)));
  CHECK_FALSE(decodeServer("i-1", "\xff\xfe"));
}

TEST_CASE("The operator's configuration is decoded") {
  auto const Decoded = decodeConfiguration(R"({"version":7,
    "routes":[
      {"name":"r1","host":"h.example","path_prefix":"/a/",
       "route_kind":"streaming","timeout_ms":2500,"target_latency_ms":1000,
       "priority":1,"service":"s","max_attempts":1,"stream_resume":false},
      {"name":"r2","host":"h.example","path_prefix":"/b/",
       "route_kind":"streaming","timeout_ms":10000,"max_attempts":2,
       "stream_resume":true,"anonymous":true,
       "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
      {"name":"r3","host":"h.example","path_prefix":"/c/",
       "route_kind":"idempotent","service":"t"},
      {"name":"r4","host":"h.example","path_prefix":"/d/",
       "route_kind":"non_idempotent","service":"t"}],
    "services":[{"name":"s","connection_limit":210,
      "engine":{"slots":24,"kv_capacity_tokens":444000},
      "scaling":{"min":1,"max":12,"boot_time_s":4.0,"spot_price":0.18,
                 "zone_prices":{"z":0.85}}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1,
                "unit":"tokens","plain_tokens":200,"rate_per_s":500,
                "burst":600}]})");
  REQUIRE_FALSE(isError(Decoded));
  auto const &Table = *valueOf(Decoded);
  CHECK(Table.version() == 7);
  auto const Kind = [&](char const *Path) {
    return Table.match("h.example", Path)->Repeatability_;
  };
  CHECK(Kind("/a/") == Repeatability::Never);
  CHECK(Kind("/b/") == Repeatability::Resumable);
  CHECK(Kind("/c/") == Repeatability::Repeatable);
  CHECK(Kind("/d/") == Repeatability::Never);
  CHECK(Table.match("h.example", "/b/")->Access_ == RouteAccess::Anonymous);
  CHECK(Table.match("h.example", "/b/")->Services_.size() == 2);
  CHECK(Table.match("h.example", "/a/")->Timeout_ ==
        std::chrono::milliseconds(2500));
  CHECK(Table.accountByKey("k2")->Quota_ ==
        AccountQuota{QuotaUnit::Tokens, 500.0, 600.0, 200.0});
  auto const *const Service = Table.service(ServiceName("s"));
  REQUIRE(Service);
  CHECK(Service->Scaling_->Prices_.at(DataCentre("z")) == 0.85);
  CHECK(Table.bounds().IdleTimeout_ == std::chrono::seconds(15));
}

// Guards against requests that no account answers for.
TEST_CASE("The keys of an account without a name open nothing") {
  auto const *const Name =
      GENERATE("", R"("name":"",)", R"("name":7,)", R"("name":null,)");
  auto const Decoded = decodeConfiguration(
      R"({"version":7,"tenants":[{)" + std::string(Name) +
      R"("api_keys":["k0"]},{"name":"a","api_keys":["k1"]}]})");
  REQUIRE_FALSE(isError(Decoded));
  CHECK_FALSE(valueOf(Decoded)->accountByKey("k0"));
  CHECK(valueOf(Decoded)->accountByKey("k1"));
}

TEST_CASE("A configuration without a version is an error") {
  CHECK(isError(decodeConfiguration("{}")));
  CHECK(isError(decodeConfiguration("")));
  CHECK(isError(decodeConfiguration("{\"version\":\"v1\"}")));
}

TEST_CASE("The settings file is parsed and unknown settings are ignored") {
  auto const Decoded = parseNodeFile(SettingsText, "node.conf");
  REQUIRE_FALSE(isError(Decoded));
  auto const &Settings = valueOf(Decoded);
  CHECK(Settings.Name_ == "edge-a-1");
  CHECK(Settings.Regions_.at(DataCentre("b-1")) == "b");
  CHECK(Settings.Traffic_ == Endpoint{"10.1.0.16", 8360});
  CHECK(Settings.Peers_ == Endpoint{"10.1.0.16", 7500});
  CHECK(Settings.StopGracePeriod_ == std::chrono::seconds(8));
  CHECK(Settings.RetryRatio_ == 0.2);
}

TEST_CASE("Every invalid or missing setting is reported with its line") {
  auto Text = withReplacement(SettingsText, "bounds.lease_ms=3000",
                              "bounds.lease_ms=soon");
  Text = withReplacement(Text, "listen.ready=10.1.0.16:8365\n", "");
  auto const Decoded = parseNodeFile(Text, "node.conf");
  REQUIRE(isError(Decoded));
  auto const &Message = errorOf(Decoded).Message_;
  CHECK(Message.find("node.conf:11") != std::string::npos);
  CHECK(Message.find("bounds.lease_ms") != std::string::npos);
  CHECK(Message.find("listen.ready") != std::string::npos);
}
